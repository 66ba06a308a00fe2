// Median, spread and least-squares fits of measured values.
import type { Fit, Measurement } from './benchmarkRecord.js'

export interface FittedLine {
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

/** Returns the median, range and standard deviation of at least one value. */
export function computeSpread (values: number[]): Pick<Measurement, 'median' | 'lowest' | 'highest' | 'deviation'> {
  const sorted = [...values].sort((first, second) => first - second)
  const middle = sorted.length / 2
  const median = ((sorted[Math.ceil(middle) - 1] ?? 0) + (sorted[Math.floor(middle)] ?? 0)) / 2
  const mean = sum(values) / values.length
  const deviation = values.length < 2 ? 0 : Math.sqrt(sum(values.map(value => (value - mean) ** 2)) / (values.length - 1))
  return { median, lowest: sorted[0] ?? 0, highest: sorted.at(-1) ?? 0, deviation }
}

/** Fits a line by ordinary least squares. The standard errors come from the residuals and are null for fewer than three points. */
export function fitLine (points: Point[]): FittedLine {
  const count = points.length
  const meanX = sum(points.map(({ x }) => x)) / count
  const meanY = sum(points.map(({ y }) => y)) / count
  const sumOfSquaresX = sum(points.map(({ x }) => (x - meanX) ** 2))
  const slope = sumOfSquaresX === 0 ? 0 : sum(points.map(({ x, y }) => (x - meanX) * (y - meanY))) / sumOfSquaresX
  const intercept = meanY - slope * meanX
  const degreesOfFreedom = count - fittedParameters
  if (degreesOfFreedom < 1 || sumOfSquaresX === 0) return { slope, slopeError: null, intercept, interceptError: null, residualDeviation: null }
  const residualDeviation = Math.sqrt(sum(points.map(({ x, y }) => (y - intercept - slope * x) ** 2)) / degreesOfFreedom)
  return {
    slope,
    slopeError: residualDeviation / Math.sqrt(sumOfSquaresX),
    intercept,
    interceptError: residualDeviation * Math.sqrt(1 / count + meanX ** 2 / sumOfSquaresX),
    residualDeviation
  }
}

/** Fits a line to each measurement that has two or more sizes. */
export function fitMeasurements (measurements: Measurement[]): Fit[] {
  const names = [...new Set(measurements.map(({ name }) => name))]
  return names.flatMap(name => {
    const matching = measurements.filter(measurement => measurement.name === name)
    const first = matching[0]
    if (first === undefined || matching.length < 2) return []
    const line = fitLine(matching.map(({ size, median }) => ({ x: size, y: median })))
    return [{ name, unit: first.unit, sizeUnit: first.sizeUnit, ...line, points: matching.length }]
  })
}
