// Median, spread and least-squares fits of measurements.
import type { Fit, Measurement } from './microRecord.js'

export interface Line {
  slope: number
  slopeError: number | null
  intercept: number
  interceptError: number | null
  residualDeviation: number | null
}

export interface Point {
  x: number
  y: number
}

const sum = (values: number[]): number => values.reduce((total, value) => total + value, 0)
const fittedParameters = 2

/** Median, range and standard deviation of at least one value. */
export function describeSpread (values: number[]): Pick<Measurement, 'median' | 'lowest' | 'highest' | 'deviation'> {
  const sorted = [...values].sort((first, second) => first - second)
  const middle = sorted.length / 2
  const median = ((sorted[Math.ceil(middle) - 1] ?? 0) + (sorted[Math.floor(middle)] ?? 0)) / 2
  const mean = sum(values) / values.length
  const deviation = values.length < 2 ? 0 : Math.sqrt(sum(values.map(value => (value - mean) ** 2)) / (values.length - 1))
  return { median, lowest: sorted[0] ?? 0, highest: sorted.at(-1) ?? 0, deviation }
}

/** Fits a line by ordinary least squares. The errors are standard errors from the residuals, so they need three points. */
export function fitLine (points: Point[]): Line {
  const count = points.length
  const meanX = sum(points.map(({ x }) => x)) / count
  const meanY = sum(points.map(({ y }) => y)) / count
  const spreadX = sum(points.map(({ x }) => (x - meanX) ** 2))
  const slope = spreadX === 0 ? 0 : sum(points.map(({ x, y }) => (x - meanX) * (y - meanY))) / spreadX
  const intercept = meanY - slope * meanX
  const freedom = count - fittedParameters
  if (freedom < 1 || spreadX === 0) return { slope, slopeError: null, intercept, interceptError: null, residualDeviation: null }
  const residualDeviation = Math.sqrt(sum(points.map(({ x, y }) => (y - intercept - slope * x) ** 2)) / freedom)
  return {
    slope,
    slopeError: residualDeviation / Math.sqrt(spreadX),
    intercept,
    interceptError: residualDeviation * Math.sqrt(1 / count + meanX ** 2 / spreadX),
    residualDeviation
  }
}

/** Fits each measurement that was taken at two or more sizes. */
export function fitMeasurements (measurements: Measurement[]): Fit[] {
  const names = [...new Set(measurements.map(({ name }) => name))]
  return names.flatMap(name => {
    const taken = measurements.filter(measurement => measurement.name === name)
    const first = taken[0]
    if (first === undefined || taken.length < 2) return []
    const line = fitLine(taken.map(({ size, median }) => ({ x: size, y: median })))
    return [{ name, unit: first.unit, sizeUnit: first.sizeUnit, ...line, points: taken.length }]
  })
}
