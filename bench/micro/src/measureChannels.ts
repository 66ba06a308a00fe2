// Cost of a round trip over two channels of js-csp, compared with a plain call.
import { performance } from 'node:perf_hooks'
import { createChannel, put, startProcess, take, type ProcessBody } from '@siskinbeam/processes/channels'
import { measureCost, type MeasuringEffort } from './measureCost.js'
import { MicroName, MicroUnit, type Measurement } from './microRecord.js'
import { describeSpread } from './statistics.js'

const roundTrips = 5_000
const warmUpRuns = 3
const microsecondsPerMillisecond = 1_000

/** Measures both. */
export async function measureChannels (effort: MeasuringEffort): Promise<Measurement[]> {
  const add = (value: number): number => value + 1
  let value = 0
  const plain = measureCost({
    place: { name: MicroName.PlainCall, size: 1, sizeUnit: 'calls' },
    effort,
    operate: () => {
      value = add(value)
      return value
    }
  })
  await repeatRuns(warmUpRuns)
  const times = await repeatRuns(effort.repetitions)
  return [plain, {
    name: MicroName.ChannelRoundTrip, unit: MicroUnit.Microseconds, size: 1, sizeUnit: 'round trips', ...describeSpread(times), repetitions: times.length, iterations: roundTrips
  }]
}

async function repeatRuns (count: number): Promise<number[]> {
  if (count === 0) return []
  const time = await timeRoundTrips()
  return [time, ...await repeatRuns(count - 1)]
}

// Microseconds of one round trip: a process sends a number to another and takes it back.
function timeRoundTrips (): Promise<number> {
  const there = createChannel<number>()
  const back = createChannel<number>()
  startProcess(function * echo (): ProcessBody {
    for (let trip = 0; trip < roundTrips; trip += 1) yield put(back, (yield take(there)) + 1)
  })
  return new Promise(resolve => {
    startProcess(function * ask (): ProcessBody {
      const startedAt = performance.now()
      for (let trip = 0; trip < roundTrips; trip += 1) {
        yield put(there, trip)
        yield take(back)
      }
      resolve((performance.now() - startedAt) * microsecondsPerMillisecond / roundTrips)
    })
  })
}
