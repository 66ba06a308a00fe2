// Preloaded by the program of a host, so that its connections come from the address in the query of this module's URL. Proxies can then tell
// hosts apart that run on one machine.
import { Socket } from 'node:net'

const localAddress = new URL(import.meta.url).searchParams.get('address') ?? '127.0.0.1'
const connect = Socket.prototype.connect as (...parameters: unknown[]) => Socket

Socket.prototype.connect = function (this: Socket, ...parameters: unknown[]): Socket {
  // Node's own functions pass on a list of parameters that they have normalized. The agent goes on using its options, so they are copied.
  const list = (Array.isArray(parameters[0]) ? parameters[0] : parameters) as unknown[]
  list[0] = { localAddress, ...list[0] as object }
  return connect.apply(this, parameters)
} as typeof Socket.prototype.connect
