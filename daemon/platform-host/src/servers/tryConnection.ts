// Finds out whether an address accepts connections.
import { connect } from 'node:net'
import { splitAddress } from '@siskinbeam/settings/splitAddress'

/** Whether the listener of a server takes a new connection. */
export enum Reachability {
  Accepted,
  Refused,
  /** Without an answer, the server may be alive behind a broken path. */
  Silent
}

/** A connection that is reset right after it was accepted leads to no server. */
const acceptedMilliseconds = 25
const connectTimeoutMilliseconds = 250

/** Tries a connection and closes it. */
export function tryConnection (address: string): Promise<Reachability> {
  return new Promise(resolve => {
    const socket = connect(splitAddress(address))
    const finish = (reachability: Reachability): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(reachability)
    }
    let timer = setTimeout(finish, connectTimeoutMilliseconds, Reachability.Silent)
    socket.on('connect', () => {
      clearTimeout(timer)
      timer = setTimeout(finish, acceptedMilliseconds, Reachability.Accepted)
    })
    socket.on('error', () => finish(Reachability.Refused))
    // Without reading, the end of the connection would go unnoticed.
    socket.resume()
    socket.on('close', () => finish(Reachability.Refused))
  })
}
