limit "lerwick" {
  tenant    = "lerwick-port"
  class     = "form-check"
  rate      = 200
  burst     = 50
  come_back = "500ms"
}

watch {
  for = "20s"
}
