// Binds a listener to an address that another socket may hold for a while, such as that of a predecessor which is still
// shutting down. Logs one line if the address is unavailable and one when it is bound, however often it is tried.
import type { Server } from 'node:net'
import type { Logger } from '@siskinbeam/logging/createLogger'
import { formatCodedError } from '@siskinbeam/result-codes/codedError'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { bindListener } from './bindListener.js'

export interface BindWhenFreeOptions {
  server: Server
  address: string
  /** Name of the setting with the address, for operators. */
  setting: string
  logger: Logger
  /** Whether the address is no longer wanted. */
  isStopped: () => boolean
}

export interface BindWithinOptions extends BindWhenFreeOptions {
  /** Time after which the address is given up. */
  limitMilliseconds: number
}

/** A predecessor closes its listener well before it ends, so that a delay up to this one is rarely noticed. */
const retryMilliseconds = 100
/** Interval at which an address that the program can do without is tried. */
const slowRetryMilliseconds = 5_000

/** Resolves with the address once it is bound. Rejects with AddressUnavailable as the message after the limit, or once the address is no longer wanted. */
export async function bindWithin ({ limitMilliseconds, ...options }: BindWithinOptions): Promise<string> {
  const { isStopped } = options
  const attempts = createAttempts(options)
  const giveUpAt = performance.now() + limitMilliseconds
  const bind = async (): Promise<string> => {
    const failure = await attempts.bind()
    if (failure === undefined) return attempts.boundAddress()
    if (performance.now() >= giveUpAt || isStopped()) {
      const { setting, address } = options
      throw new Error(formatCodedError({ code: ResultCode.AddressUnavailable, message: `${address} is unavailable: ${failure}`, key: setting, expected: `an address that is free within ${limitMilliseconds} ms` }))
    }
    await new Promise(resolve => setTimeout(resolve, retryMilliseconds))
    return bind()
  }
  return bind()
}

/** Resolves after the first attempt. If that failed, tries again at a low rate until the address is bound or no longer wanted. */
export async function bindInBackground (options: BindWhenFreeOptions): Promise<void> {
  const { isStopped } = options
  const attempts = createAttempts(options)
  const bind = async (): Promise<void> => {
    if (isStopped() || await attempts.bind() === undefined) return
    setTimeout(() => { bind().catch(() => {}) }, slowRetryMilliseconds).unref()
  }
  await bind()
}

interface Attempts {
  /** Resolves with the reason if the address is unavailable. */
  bind: () => Promise<string | undefined>
  boundAddress: () => string
}

function createAttempts ({ server, address, setting, logger, isStopped }: BindWhenFreeOptions): Attempts {
  let failedAt: number | undefined
  let boundAddress = ''
  return {
    boundAddress: () => boundAddress,
    bind: async () => {
      if (isStopped()) return 'the host ends'
      try {
        boundAddress = await bindListener(server, address)
      } catch (error) {
        const reason = (error as Error).message
        if (failedAt === undefined) logger.warn('address unavailable', { setting, address, reason })
        failedAt ??= performance.now()
        return reason
      }
      // Node.js reports a connection that cannot be accepted as an error of the listener, which continues to listen.
      server.on('error', error => logger.warn('listener failed', { setting, address, reason: error.message }))
      if (failedAt !== undefined) logger.info('address bound', { setting, address, milliseconds: Math.round(performance.now() - failedAt) })
      return undefined
    }
  }
}
