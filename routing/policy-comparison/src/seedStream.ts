// The seed of one stream of random numbers of a run, so that arrivals, servers and hosts draw from streams
// of their own and every variant meets the same ones.

/** Combines the seed of a run with the number of a stream. */
export function seedStream (seed: number, stream: number): number {
  return Math.imul(seed, 0x9e37_79b1) ^ Math.imul(stream, 0x85eb_ca6b)
}
