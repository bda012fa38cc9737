"""Zones that are lost and come back: their health, where their work goes meanwhile, and in what order it returns."""
