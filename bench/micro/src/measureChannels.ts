// Measures the cost of a round trip over two js-csp channels, compared with a plain function call.
import { performance } from 'node:perf_hooks'
import { createChannel, put, startProcess, take, type ProcessBody } from '@siskinbeam/processes/channels'
import { measureCost, type SamplingOptions } from './measureCost.js'
import { MeasurementName, MeasurementUnit, type Measurement } from './benchmarkRecord.js'
import { computeSpread } from './statistics.js'

const roundTrips = 5_000
const warmUpRuns = 3
const microsecondsPerMillisecond = 1_000

/** Measures a plain call and a channel round trip. */
export async function measureChannels (sampling: SamplingOptions): Promise<Measurement[]> {
  const add = (value: number): number => value + 1
  let value = 0
  const plainCall = measureCost({
    label: { name: MeasurementName.PlainCall, size: 1, sizeUnit: 'calls' },
    sampling,
    operation: () => {
      value = add(value)
      return value
    }
  })
  await measureRuns(warmUpRuns)
  const times = await measureRuns(sampling.repetitions)
  return [plainCall, {
    name: MeasurementName.ChannelRoundTrip, unit: MeasurementUnit.Microseconds, size: 1, sizeUnit: 'round trips', ...computeSpread(times), repetitions: times.length, iterations: roundTrips
  }]
}

async function measureRuns (count: number): Promise<number[]> {
  if (count === 0) return []
  const time = await timeRoundTrips()
  return [time, ...await measureRuns(count - 1)]
}

// Returns the microseconds of one round trip, in which a process sends a number to another and receives the reply.
function timeRoundTrips (): Promise<number> {
  const requests = createChannel<number>()
  const replies = createChannel<number>()
  startProcess(function * echo (): ProcessBody {
    for (let trip = 0; trip < roundTrips; trip += 1) yield put(replies, (yield take(requests)) + 1)
  })
  return new Promise(resolve => {
    startProcess(function * sendNumbers (): ProcessBody {
      const startedAt = performance.now()
      for (let trip = 0; trip < roundTrips; trip += 1) {
        yield put(requests, trip)
        yield take(replies)
      }
      resolve((performance.now() - startedAt) * microsecondsPerMillisecond / roundTrips)
    })
  })
}
