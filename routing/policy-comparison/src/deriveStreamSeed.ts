// Derives the seeds of the random streams of a run. Arrivals, servers and hosts use separate streams, so all
// variants are subject to the same arrivals, work and noise.

/** Combines the seed of a run with a stream number. */
export function deriveStreamSeed (seed: number, stream: number): number {
  return Math.imul(seed, 0x9e37_79b1) ^ Math.imul(stream, 0x85eb_ca6b)
}
