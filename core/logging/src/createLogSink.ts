// Writes log lines to a file descriptor without ever blocking the process: lines wait in a bounded queue
// and one write is in progress at a time. Beyond the rate or the queue, lines are dropped and counted.
import { write } from 'node:fs'
import { formatLine } from './createLogger.js'

export interface CreateLogSinkOptions {
  fileDescriptor: number
  /** Milliseconds of the monotonic clock. */
  now: () => number
}

/** A sink for whole lines. */
export interface LogSink {
  write: (line: string) => void
  /** Lines that were dropped so far. */
  dropped: () => number
  /** Waits until all lines are written, at most for the time given. */
  flush: (milliseconds: number) => Promise<void>
}

/** A host that answers 200 requests a second writes about as many lines. */
const linesPerSecond = 400
const burstLines = 2_000
const queuedLines = 4_000
const pollMilliseconds = 5

/** Creates a sink. */
export function createLogSink ({ fileDescriptor, now }: CreateLogSinkOptions): LogSink {
  let queue: string[] = []
  let writing = false
  let dropped = 0
  let reported = 0
  let allowance = burstLines
  let allowedAt = now()

  const writeNext = (): void => {
    if (writing || queue.length === 0) return
    writing = true
    const text = queue.join('\n') + '\n'
    queue = []
    writeAll(fileDescriptor, Buffer.from(text), () => {
      writing = false
      writeNext()
    })
  }

  return {
    dropped: () => dropped,
    write: line => {
      allowance = Math.min(burstLines, allowance + (now() - allowedAt) * linesPerSecond / 1_000)
      allowedAt = now()
      if (allowance < 1 || queue.length >= queuedLines) {
        dropped += 1
        return
      }
      allowance -= 1
      if (dropped > reported) {
        queue.push(formatLine({ event: 'log lines dropped', lines: dropped - reported }))
        reported = dropped
      }
      queue.push(line)
      writeNext()
    },
    flush: milliseconds => {
      const end = now() + milliseconds
      const poll = async (): Promise<void> => {
        if ((!writing && queue.length === 0) || now() >= end) return
        await new Promise(resolve => setTimeout(resolve, pollMilliseconds))
        await poll()
      }
      return poll()
    }
  }
}

function writeAll (fileDescriptor: number, bytes: Buffer, done: () => void): void {
  write(fileDescriptor, bytes, (error, written) => {
    // A log that can't be written has no other place to say so.
    if (error !== null || written >= bytes.length) done()
    else writeAll(fileDescriptor, bytes.subarray(written), done)
  })
}
