"""Define the types of the identifiers in messages and settings."""

from typing import NewType

InstanceId = NewType('InstanceId', str)
ServerId = NewType('ServerId', str)
PoolName = NewType('PoolName', str)
FailureDomain = NewType('FailureDomain', str)
ProfileName = NewType('ProfileName', str)
ModelName = NewType('ModelName', str)
AdapterName = NewType('AdapterName', str)
ServiceName = NewType('ServiceName', str)
SoftwareVersion = NewType('SoftwareVersion', str)
PromptPart = NewType('PromptPart', str)
# A hash in hexadecimal.
RequestFingerprint = NewType('RequestFingerprint', str)
OrganisationName = NewType('OrganisationName', str)
# SHA-256 of a key in hexadecimal.
KeyDigest = NewType('KeyDigest', str)
RequestId = NewType('RequestId', str)
ChangeId = NewType('ChangeId', str)
OrderId = NewType('OrderId', str)
Fence = NewType('Fence', int)
# Grows over all eras of the store.
Revision = NewType('Revision', int)
StoreEra = NewType('StoreEra', int)
LeaseId = NewType('LeaseId', int)
