// Measures the time of one operation. Each repetition runs enough operations to last a few milliseconds,
// since a single one is shorter than the resolution of the clock.
import { performance } from 'node:perf_hooks'
import { MicroUnit, type Measurement } from './microRecord.js'
import { describeSpread } from './statistics.js'

/** How long a measurement takes. */
export interface MeasuringEffort {
  repetitions: number
  /** Target length of one repetition. */
  repetitionMilliseconds: number
}

export type MeasuredPlace = Pick<Measurement, 'name' | 'size' | 'sizeUnit'>

export interface MeasureCostOptions {
  place: MeasuredPlace
  effort: MeasuringEffort
  /** One operation. Its result is kept, so that the compiler cannot leave the work out. */
  operate: () => unknown
  /** Operations counted as one run of `operate`, for batches. */
  operationsPerRun?: number
}

const microsecondsPerMillisecond = 1_000
/** The compiler optimizes after some thousands of calls; a shorter warm-up showed the first size as twice as slow. */
const warmUpMilliseconds = 200
/** Operations this slow are repeated less often. */
const slowMilliseconds = 100
const slowRepetitions = 5

let kept: unknown

function timeRuns (operate: () => unknown, runs: number): number {
  const startedAt = performance.now()
  for (let run = 0; run < runs; run += 1) kept = operate()
  return performance.now() - startedAt
}

// Doubles the number of runs until they last long enough. The runs also warm the code up.
function calibrate (operate: () => unknown, wantedMilliseconds: number, runs = 1): number {
  return timeRuns(operate, runs) >= wantedMilliseconds ? runs : calibrate(operate, wantedMilliseconds, runs * 2)
}

/** Measures the microseconds of one operation. */
export function measureCost ({ place, effort, operate, operationsPerRun = 1 }: MeasureCostOptions): Measurement {
  const iterations = calibrate(operate, effort.repetitionMilliseconds)
  const isSlow = timeRuns(operate, iterations) > Math.max(slowMilliseconds, 2 * effort.repetitionMilliseconds)
  if (!isSlow) timeRuns(operate, Math.ceil(iterations * warmUpMilliseconds / effort.repetitionMilliseconds))
  const repetitions = isSlow ? Math.min(slowRepetitions, effort.repetitions) : effort.repetitions
  const times = Array.from({ length: repetitions }, () => timeRuns(operate, iterations) * microsecondsPerMillisecond / (iterations * operationsPerRun))
  return { ...place, unit: MicroUnit.Microseconds, ...describeSpread(times), repetitions, iterations: iterations * operationsPerRun }
}

/** A number of bytes that is exact, without a spread. */
export function recordBytes (place: MeasuredPlace, bytes: number): Measurement {
  return { ...place, unit: MicroUnit.Bytes, median: bytes, lowest: bytes, highest: bytes, deviation: 0, repetitions: 1, iterations: 1 }
}

/** The last result, read once at the end so that it counts as used. */
export function readKept (): unknown {
  return kept
}
