// Measures the time of one operation. Each repetition runs enough operations to take a few milliseconds, since a
// single operation is shorter than the resolution of the clock.
import { performance } from 'node:perf_hooks'
import { MeasurementUnit, type Measurement } from './benchmarkRecord.js'
import { computeSpread } from './statistics.js'

/** How often a measurement is repeated, and how long each repetition takes. */
export interface SamplingOptions {
  repetitions: number
  /** Minimum duration of one repetition. */
  repetitionMilliseconds: number
}

export type MeasurementLabel = Pick<Measurement, 'name' | 'size' | 'sizeUnit'>

export interface MeasureCostOptions {
  label: MeasurementLabel
  sampling: SamplingOptions
  /** The measured operation. Its result is stored, so that the compiler cannot eliminate the call. */
  operation: () => unknown
  /** Number of operations that one call of `operation` counts as, for batches. */
  operationsPerRun?: number
}

const microsecondsPerMillisecond = 1_000
/** The compiler optimizes after a few thousand calls; with a shorter warm-up, the first size appeared twice as slow. */
const warmUpMilliseconds = 200
/** Repetitions that take longer than this are run less often. */
const slowMilliseconds = 100
const slowRepetitions = 5

let lastResult: unknown

function timeRuns (operation: () => unknown, runs: number): number {
  const startedAt = performance.now()
  for (let run = 0; run < runs; run += 1) lastResult = operation()
  return performance.now() - startedAt
}

// Doubles the number of runs until they take long enough. The runs also warm up the code.
function calibrate (operation: () => unknown, minimumMilliseconds: number, runs = 1): number {
  return timeRuns(operation, runs) >= minimumMilliseconds ? runs : calibrate(operation, minimumMilliseconds, runs * 2)
}

/** Measures the time of one operation in microseconds. */
export function measureCost ({ label, sampling, operation, operationsPerRun = 1 }: MeasureCostOptions): Measurement {
  const iterations = calibrate(operation, sampling.repetitionMilliseconds)
  const isSlow = timeRuns(operation, iterations) > Math.max(slowMilliseconds, 2 * sampling.repetitionMilliseconds)
  if (!isSlow) timeRuns(operation, Math.ceil(iterations * warmUpMilliseconds / sampling.repetitionMilliseconds))
  const repetitions = isSlow ? Math.min(slowRepetitions, sampling.repetitions) : sampling.repetitions
  const times = Array.from({ length: repetitions }, () => timeRuns(operation, iterations) * microsecondsPerMillisecond / (iterations * operationsPerRun))
  return { ...label, unit: MeasurementUnit.Microseconds, ...computeSpread(times), repetitions, iterations: iterations * operationsPerRun }
}

/** Creates the measurement of a size in bytes, which is exact and has no spread. */
export function recordBytes (label: MeasurementLabel, bytes: number): Measurement {
  return { ...label, unit: MeasurementUnit.Bytes, median: bytes, lowest: bytes, highest: bytes, deviation: 0, repetitions: 1, iterations: 1 }
}

/** Returns the last result. Reading it once at the end makes the compiler treat the results as used. */
export function getLastResult (): unknown {
  return lastResult
}
