"""The processes of bergamotchute: request filters, controllers, tasks and composition roots."""
