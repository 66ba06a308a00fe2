// Writes log lines to a file descriptor without blocking the process. Lines are buffered in a bounded queue, and
// one write is in progress at a time. Lines that exceed the rate limit or the queue are dropped and counted.
import { write } from 'node:fs'
import { formatLine } from './createLogger.js'

export interface CreateLogSinkOptions {
  fileDescriptor: number
  /** Milliseconds of the monotonic clock. */
  now: () => number
}

/** Writes log lines. */
export interface LogSink {
  write: (line: string) => void
  /** Returns the number of lines dropped so far. */
  dropped: () => number
  /** Resolves when all lines are written, at the latest after the given time, with whether they are. */
  flush: (milliseconds: number) => Promise<boolean>
}

/** A host that serves 200 requests per second writes about 200 lines per second. */
const linesPerSecond = 400
const maximumBurstLines = 2_000
const maximumQueuedLines = 4_000
const flushPollMilliseconds = 5

/** Creates a log sink. */
export function createLogSink ({ fileDescriptor, now }: CreateLogSinkOptions): LogSink {
  let queue: string[] = []
  let writing = false
  let dropped = 0
  let reportedDrops = 0
  let tokens = maximumBurstLines
  let refilledAt = now()

  const writeQueue = (): void => {
    if (writing || queue.length === 0) return
    writing = true
    const text = queue.join('\n') + '\n'
    queue = []
    writeAll(fileDescriptor, Buffer.from(text), () => {
      writing = false
      writeQueue()
    })
  }

  return {
    dropped: () => dropped,
    write: line => {
      tokens = Math.min(maximumBurstLines, tokens + (now() - refilledAt) * linesPerSecond / 1_000)
      refilledAt = now()
      if (tokens < 1 || queue.length >= maximumQueuedLines) {
        dropped += 1
        return
      }
      tokens -= 1
      if (dropped > reportedDrops) {
        queue.push(formatLine({ event: 'log lines dropped', lines: dropped - reportedDrops }))
        reportedDrops = dropped
      }
      queue.push(line)
      writeQueue()
    },
    flush: milliseconds => {
      const end = now() + milliseconds
      const poll = async (): Promise<boolean> => {
        const isWritten = !writing && queue.length === 0
        if (isWritten || now() >= end) return isWritten
        await new Promise(resolve => setTimeout(resolve, flushPollMilliseconds))
        return poll()
      }
      return poll()
    }
  }
}

function writeAll (fileDescriptor: number, bytes: Buffer, done: () => void): void {
  write(fileDescriptor, bytes, (error, written) => {
    // A write error is ignored, since there is no other place to report it.
    if (error !== null || written >= bytes.length) done()
    else writeAll(fileDescriptor, bytes.subarray(written), done)
  })
}
