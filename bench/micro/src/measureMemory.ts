// Memory of the decision states: heap and external memory that stay after a collection while a state is
// held. The resident memory of a process also holds what the allocator keeps free, which does not
// depend on the state, so it is not used here.
import { makeBundle } from './makeBundles.js'
import type { MeasuringEffort } from './measureCost.js'
import { makeMembership } from './measureMembership.js'
import { makeRuntimes } from './measureRouting.js'
import { MicroName, MicroUnit, type Measurement } from './microRecord.js'
import { describeSpread } from './statistics.js'

const endpointCounts = [100, 1_000, 14_000]
const memberCounts = [20, 100, 300, 1_000]
const mostRepetitions = 5
/** Small states are held in several copies, since what the collector leaves varies by some 100 KB. */
const heldElements = 10_000

/** Measures all states. Needs `node --expose-gc`. */
export function measureMemory ({ repetitions }: MeasuringEffort): Measurement[] {
  const collect = globalThis.gc
  if (collect === undefined) throw new Error('memory is measured with node --expose-gc only')
  const readBytes = (): number => {
    // The first collection may leave what finalizers release; the second takes it.
    collect()
    collect()
    const { heapUsed, external } = process.memoryUsage()
    return heapUsed + external
  }
  // `make` prepares what does not count and gives the function that makes the state.
  const measure = (name: MicroName, size: number, sizeUnit: string, make: () => () => unknown): Measurement => {
    make()()
    const copies = Math.max(1, Math.round(heldElements / size))
    const bytes = Array.from({ length: Math.min(mostRepetitions, repetitions) }, () => {
      const makeState = make()
      const before = readBytes()
      const states = Array.from({ length: copies }, makeState)
      const held = readBytes() - before
      return held / states.length
    })
    return { name, unit: MicroUnit.Bytes, size, sizeUnit, ...describeSpread(bytes), repetitions: bytes.length, iterations: copies }
  }
  return [
    ...endpointCounts.map(size => measure(MicroName.ServiceStateMemory, size, 'endpoints', () => {
      const bundle = makeBundle({ endpoints: size })
      return () => makeRuntimes(bundle)
    })),
    ...endpointCounts.map(size => measure(MicroName.BundleMemory, size, 'endpoints', () => () => makeBundle({ endpoints: size }))),
    ...memberCounts.map(size => measure(MicroName.MemberMemory, size, 'members', () => () => makeMembership(size)))
  ]
}
