"""Control pools of model engines while holding the control lease."""
