// Seeded random numbers. Decision modules take a `random` function as an argument, so that a run can
// be repeated from its seed.
import { xoroshiro128plus } from 'pure-rand'

/** Gives a number in [0, 1). */
export type Random = () => number

/** The state of the generator starts almost empty: with seeds up to 1,000 its first number was always close to 1. */
const discardedNumbers = 64

/** Creates a random function from an integer seed. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  Array.from({ length: discardedNumbers }).forEach(() => generator.unsafeNext())
  return () => (generator.unsafeNext() >>> 0) / 0x1_0000_0000
}

/** Picks an index in [0, length). */
export function pickIndex (random: Random, length: number): number {
  return Math.floor(random() * length)
}

/** Picks at most `count` distinct elements in random order, without changing the array. */
export function sample<Element> (random: Random, elements: readonly Element[], count: number): Element[] {
  const remaining = [...elements]
  return Array.from({ length: Math.min(count, remaining.length) }, (_, taken) => {
    const picked = taken + pickIndex(random, remaining.length - taken)
    const element = remaining[picked] as Element
    remaining[picked] = remaining[taken] as Element
    return element
  })
}

/** Draws from an exponential distribution with the mean given. */
export function drawExponential (random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean
}

/** Draws from a lognormal distribution with the mean given; `sigma` is the deviation of its logarithm. */
export function drawLognormal (random: Random, mean: number, sigma: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  return mean * Math.exp(sigma * normal - sigma * sigma / 2)
}
