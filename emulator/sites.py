"""Demo sites by name."""

from emulator import _trilha_site, _yard_site

SITE_BY_NAME = {
    site.name: site for site in (_yard_site.YARD, _trilha_site.TRILHA)
}
