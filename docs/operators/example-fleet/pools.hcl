variable "canary" {
  description = "percent of form-checks that go to the quad-core machines alone"
  default     = 10
}

pool "quad" {
  kinds = ["quad-core"]
}

route "canary" {
  class = "form-check"
  to "quad" { weight = var.canary }
  to "all"  { weight = 100 - var.canary }
}
