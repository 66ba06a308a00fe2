// Seeded pseudo-random numbers. Decision modules take a `random` function as an argument, so that a run is
// reproducible from its seed.
import { xoroshiro128plus } from 'pure-rand'

/** Returns a number in [0, 1). */
export type Random = () => number

/** The initial state of the generator has few set bits: with seeds up to 1,000, its first number is always close to 1. */
const discardedNumberCount = 64

/** Creates a random function from an integer seed. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  Array.from({ length: discardedNumberCount }).forEach(() => generator.unsafeNext())
  return () => (generator.unsafeNext() >>> 0) / 0x1_0000_0000
}

/** Draws an index in [0, length). */
export function pickIndex (random: Random, length: number): number {
  return Math.floor(random() * length)
}

/** Draws at most `count` distinct elements in random order, without changing the array. */
export function sample<Element> (random: Random, elements: readonly Element[], count: number): Element[] {
  const remaining = [...elements]
  return Array.from({ length: Math.min(count, remaining.length) }, (_, drawnCount) => {
    const drawnIndex = drawnCount + pickIndex(random, remaining.length - drawnCount)
    const element = remaining[drawnIndex] as Element
    remaining[drawnIndex] = remaining[drawnCount] as Element
    return element
  })
}

/** Draws from an exponential distribution with the given mean. */
export function drawExponential (random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean
}

/** Draws from a lognormal distribution with the given mean; `sigma` is the standard deviation of the logarithm. */
export function drawLognormal (random: Random, mean: number, sigma: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  return mean * Math.exp(sigma * normal - sigma * sigma / 2)
}
