// Schedules the reads of the head. All hosts together read about 4 times a second regardless of their
// number, so that the reads take a small and constant part of the rate limit of the table service.
import type { Random } from '@siskinbeam/random/createRandom'

const headReadsPerSecond = 4
// A host that is partitioned from its peers learns of a bundle only from the store, and must activate it
// within 5 s. Reading every 2 s (at most 3 s with jitter) leaves 2 s for two more reads or the body.
const maximumPartitionIntervalMilliseconds = 2_000

export interface HeadIntervalOptions {
  /** Hosts that are reachable from this one, itself included. */
  liveHosts: number
  /** Hosts on the host list. */
  listedHosts: number
}

/**
 * Computes the mean interval between head reads of one host, in milliseconds. The hosts of one partition
 * together read 4 times a second, but in a system of 8 or more hosts no host reads more often than every
 * 2 s: if the peer network fails for all N hosts, they read N/2 times a second and not 4 N times.
 */
export function computeMeanHeadInterval ({ liveHosts, listedHosts }: HeadIntervalOptions): number {
  const intervalPerHost = (hosts: number): number => 1_000 * Math.max(1, hosts) / headReadsPerSecond
  return Math.max(intervalPerHost(liveHosts), Math.min(intervalPerHost(listedHosts), maximumPartitionIntervalMilliseconds))
}

/** Computes the time to the next read in milliseconds: the mean with a uniform jitter of ±50 %. */
export function computeJitteredHeadInterval (options: HeadIntervalOptions, random: Random): number {
  return computeMeanHeadInterval(options) * (0.5 + random())
}
