// When a host reads the head. All hosts together read about 4 times a second, whatever their number,
// so that the reads stay a small and constant part of what the table service allows.
import type { Random } from '@siskinbeam/random/createRandom'

const headReadsPerSecond = 4
// A host whose peers are out of reach learns of a bundle only from the store, and must have it in
// force within 5 s. Reading every 2 s (at most 3 s) leaves 2 s for two further reads or the body.
const longestIntervalAloneMilliseconds = 2_000

export interface HeadIntervalOptions {
  /** Hosts that can hear each other, this one included. */
  liveHosts: number
  /** Hosts on the host list. */
  listedHosts: number
}

/**
 * Mean interval between reads of one host in milliseconds. A group cut off from the other hosts reads
 * 4 times a second together, but no host more often than every 2 s in a system of 8 or more: should
 * the peer network fail for all of N hosts, they read N/2 times a second and not 4 N.
 */
export function computeHeadInterval ({ liveHosts, listedHosts }: HeadIntervalOptions): number {
  const share = (hosts: number): number => 1_000 * Math.max(1, hosts) / headReadsPerSecond
  return Math.max(share(liveHosts), Math.min(share(listedHosts), longestIntervalAloneMilliseconds))
}

/** Draws the time to the next read, from half to one and a half of the mean. */
export function drawHeadInterval (options: HeadIntervalOptions, random: Random): number {
  return computeHeadInterval(options) * (0.5 + random())
}
