"""The processes of bergamotchute: filters, controllers, tasks and the composition root."""
