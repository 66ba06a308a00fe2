// Measures the memory of the decision states: the heap and external memory that remain after garbage collection
// while a state is referenced. The resident set size is not used, since it includes free memory of the allocator,
// which does not depend on the state.
import { makeBundle } from './makeBundles.js'
import type { SamplingOptions } from './measureCost.js'
import { makeMembership } from './measureMembership.js'
import { makeRuntimes } from './measureRouting.js'
import { MeasurementName, MeasurementUnit, type Measurement } from './benchmarkRecord.js'
import { computeSpread } from './statistics.js'

const endpointCounts = [100, 1_000, 14_000]
const memberCounts = [20, 100, 300, 1_000]
const maximumRepetitions = 5
/** Small states are measured in several copies, since the memory that remains after a collection varies by about 100 KB. */
const elementsPerSample = 10_000

/** Measures all states. Throws an Error unless Node.js was started with `--expose-gc`. */
export function measureMemory ({ repetitions }: SamplingOptions): Measurement[] {
  const collectGarbage = globalThis.gc
  if (collectGarbage === undefined) throw new Error('measuring memory requires node --expose-gc')
  const readBytes = (): number => {
    // The second collection frees what finalizers released during the first.
    collectGarbage()
    collectGarbage()
    const { heapUsed, external } = process.memoryUsage()
    return heapUsed + external
  }
  // `prepare` creates inputs that are not measured and returns the function that creates the state.
  const measure = (name: MeasurementName, size: number, sizeUnit: string, prepare: () => () => unknown): Measurement => {
    prepare()()
    const copies = Math.max(1, Math.round(elementsPerSample / size))
    const bytes = Array.from({ length: Math.min(maximumRepetitions, repetitions) }, () => {
      const makeState = prepare()
      const before = readBytes()
      const states = Array.from({ length: copies }, makeState)
      const retainedBytes = readBytes() - before
      return retainedBytes / states.length
    })
    return { name, unit: MeasurementUnit.Bytes, size, sizeUnit, ...computeSpread(bytes), repetitions: bytes.length, iterations: copies }
  }
  return [
    ...endpointCounts.map(size => measure(MeasurementName.ServiceStateMemory, size, 'endpoints', () => {
      const bundle = makeBundle({ endpoints: size })
      return () => makeRuntimes(bundle)
    })),
    ...endpointCounts.map(size => measure(MeasurementName.BundleMemory, size, 'endpoints', () => () => makeBundle({ endpoints: size }))),
    ...memberCounts.map(size => measure(MeasurementName.MemberMemory, size, 'members', () => () => makeMembership(size)))
  ]
}
