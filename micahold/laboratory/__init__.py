"""The project's own laboratory: models, experiments and their figures. The front never imports it."""
