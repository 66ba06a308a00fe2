// A proxy on loopback whose connections can be delayed, reset, silenced, or cut in one direction.
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { splitAddress } from '@siskinbeam/settings/splitAddress'

export interface LinkFaults {
  delayMilliseconds: number
  /** Bytes to the service are held back. */
  holdsRequests: boolean
  /** Bytes of the service are held back. */
  holdsAnswers: boolean
}

export interface FaultyProxy {
  address: string
  faults: LinkFaults
  /** Resets all open connections. */
  reset: () => void
  close: () => void
}

export const soundLink: Readonly<LinkFaults> = { delayMilliseconds: 0, holdsRequests: false, holdsAnswers: false }
const holdPollMilliseconds = 10

/** Starts a proxy before a service on loopback. */
export async function startFaultyProxy (target: string): Promise<FaultyProxy> {
  const faults: LinkFaults = { ...soundLink }
  const pairs = new Set<[Socket, Socket]>()

  // Bytes of one direction stay in order: each chunk waits for the one before it.
  const relay = (from: Socket, to: Socket, isHeld: () => boolean): void => {
    let previous = Promise.resolve()
    const passOn = (act: () => void): void => {
      previous = previous.then(() => waitWhile(isHeld, faults.delayMilliseconds)).then(act)
    }
    from.on('data', chunk => passOn(() => { if (!to.destroyed) to.write(chunk) }))
    from.on('end', () => passOn(() => to.end()))
  }

  const server = createServer({ allowHalfOpen: true }, near => {
    const far = connect({ ...splitAddress(target), allowHalfOpen: true })
    const pair: [Socket, Socket] = [near, far]
    pairs.add(pair)
    const end = (from: Socket, to: Socket): void => {
      from.on('error', () => resetSocket(to))
      from.on('close', () => {
        pairs.delete(pair)
        if (!from.readableEnded) resetSocket(to)
      })
    }
    end(near, far)
    end(far, near)
    relay(near, far, () => faults.holdsRequests)
    relay(far, near, () => faults.holdsAnswers)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const reset = (): void => pairs.forEach(pair => pair.forEach(resetSocket))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    faults,
    reset,
    close: () => {
      server.close()
      reset()
    }
  }
}

async function waitWhile (isHeld: () => boolean, delayMilliseconds: number): Promise<void> {
  if (delayMilliseconds > 0) await pause(delayMilliseconds)
  while (isHeld()) await pause(holdPollMilliseconds)
}

// Node 20 never closes the handle of a socket that is reset after its end was written, and then hangs at its exit.
function resetSocket (socket: Socket): void {
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}
