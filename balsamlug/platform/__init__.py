"""Translation between the operator's platform and the types of this product.

Only this package uses the names of the platform's wire format. It makes no
decisions.
"""
