pool "small" {
  kinds = local.small
}

pool "east" {
  kinds    = ["twin-core", "quad-core"]
  zones    = ["edinburgh-dc"]
  pods     = [4, 3, 4]
  ids      = ["s-2", "s-1"]
  networks = ["10.1.2.3/16", "127.0.0.0/8"]
}

route "checks" {
  priority    = 7
  class       = "form-check"
  tenant      = "lerwick-port"
  path_prefix = "/forms/"
  headers     = { X-Attrs = "trial" }
  to "small" {
    weight = local.part
  }
  to "all" {
    weight = 60
  }
  to "east" {
    weight = 29
  }
}

limit "lerwick" {
  class     = "refund-record"
  tenant    = "wick"
  in_flight = 11
  rate      = 2.5
  burst     = 5
  attempts  = 3
  come_back = "500ms"
}

drain "old" {
  share    = 0.25
  kinds    = ["old-core"]
  zones    = ["glasgow-dc"]
  pods     = [6]
  ids      = ["s-9"]
  networks = ["10.2.0.0/16"]
}

deadline "short" {
  class   = "form-check"
  tenant  = "wick"
  at_most = "400ms"
}

rollout {
  step = 0.125
  wait = "6s"
}

watch {
  for          = "1m30s"
  false_alarms = 0.002
}
