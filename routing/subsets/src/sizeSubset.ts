// How many servers of a group an entry host asks first. Few keep connections in use; so many that each
// server is among the first of several hosts keep the load even.

export interface SizeSubsetOptions {
  servers: number
  /** Entry hosts that share the servers. */
  hosts: number
}

/** Three servers are asked at a time, so that a host still has a choice if some of these are busy. */
const leastSize = 10
/** With six hosts on average, one server in 400 is among the first of none. */
const hostsPerServer = 6

/** Rounds down to a power of two, so that subsets rarely change as hosts come and go. */
export function roundHosts (hosts: number): number {
  return 2 ** Math.floor(Math.log2(Math.max(1, hosts)))
}

/** Gives the size. */
export function sizeSubset ({ servers, hosts }: SizeSubsetOptions): number {
  return Math.max(leastSize, Math.ceil(servers * hostsPerServer / roundHosts(hosts)))
}
