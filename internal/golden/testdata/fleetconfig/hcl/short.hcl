pool "any" {}
route "r" {
  to "any" {}
}
limit "l" { in_flight = 0 }
drain "d" { pods = [1] }
deadline "e" { at_most = "1s" }
watch {}
