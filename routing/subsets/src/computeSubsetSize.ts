// Computes the size of the subset of servers that an entry host probes first. A small subset keeps its
// connections in use; the subset must be large enough that each server belongs to the subsets of several
// hosts, which balances the load.

export interface ComputeSubsetSizeOptions {
  servers: number
  /** Number of entry hosts that share the servers. */
  hosts: number
}

/** Servers are probed three at a time, so a host still has alternatives if some of these ten are busy. */
const minimumSubsetSize = 10
/** With six hosts per server on average, one server in 400 is in no subset. */
const meanHostsPerServer = 6

/** Rounds the number of hosts down to a power of two, so that subsets rarely change when hosts join or leave. */
export function roundDownToPowerOfTwo (hosts: number): number {
  return 2 ** Math.floor(Math.log2(Math.max(1, hosts)))
}

/** Returns the subset size, which may exceed the number of servers. */
export function computeSubsetSize ({ servers, hosts }: ComputeSubsetSizeOptions): number {
  return Math.max(minimumSubsetSize, Math.ceil(servers * meanHostsPerServer / roundDownToPowerOfTwo(hosts)))
}
