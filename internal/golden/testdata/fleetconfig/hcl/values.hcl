variable "small_part" {
  description = "the weight of the small pool"
  default     = 9
}

locals {
  small = ["twin-core"]
  part  = var.small_part
}
