// The project's stand-in of the platform's store, with the rows of the operator and of servers, and a link of its own for each host.
import { connect, createServer } from 'node:net'
import { serveRowStore } from '../../stand-ins/platform/lib/src/serveRowStore.js'

export const guestHost = 'desk.example'

export function createStoreRows (store) {
  const sequences = new Map()
  return {
    putConfiguration: (version, routes, services) => store.put('op', 'config', {
      version: `r${version}`, routes, services, limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutS: 3, idleTimeoutS: 15 }
    }),
    putServer: (server, state = 'ready') => {
      sequences.set(server.id, (sequences.get(server.id) ?? 0) + 1)
      store.put('servers', server.id, {
        service: server.service, address: server.address, zone: server.zone, version: 'v1', slots: server.slots, state, warmupLeftS: 0, sequence: sequences.get(server.id), born: server.born
      })
    },
    removeServer: server => store.remove('servers', server.id)
  }
}

export const createRoute = change => ({ host: guestHost, timeoutS: 3, targetLatencyS: 0.6, priority: 1, maxAttempts: 3, ...change })

export const startStore = () => serveRowStore()

/** A TCP proxy that can reset its connections and refuse further ones, or silence those that are open. */
export function startLink (targetAddress) {
  const [host, port] = targetAddress.split(':')
  const sockets = new Set()
  const pairs = new Set()
  let isCut = false
  const reset = socket => { if (!socket.destroyed) socket.resetAndDestroy() }
  const server = createServer(socket => {
    socket.on('error', () => {})
    if (isCut) return reset(socket)
    const upstream = connect({ host, port: Number(port) })
    const pair = { socket, upstream }
    pairs.add(pair)
    socket.on('close', () => pairs.delete(pair))
    upstream.on('error', () => reset(socket))
    socket.on('close', () => upstream.destroy())
    upstream.on('close', () => socket.destroy())
    ;[socket, upstream].forEach(each => {
      sockets.add(each)
      each.setNoDelay(true)
      each.on('close', () => sockets.delete(each))
    })
    socket.pipe(upstream)
    upstream.pipe(socket)
  })
  return new Promise(resolve => server.listen(0, '127.0.0.1', () => resolve({
    address: `127.0.0.1:${server.address().port}`,
    cut: () => {
      isCut = true
      sockets.forEach(reset)
    },
    heal: () => { isCut = false },
    /** Open connections deliver nothing any more, and stay open. Returns their number. */
    silence: () => {
      const silenced = [...pairs]
      pairs.clear()
      silenced.forEach(pair => {
        pair.socket.unpipe()
        pair.upstream.unpipe()
        pair.socket.resume()
        pair.upstream.resume()
      })
      return silenced.length
    },
    close: () => {
      server.close()
      sockets.forEach(socket => socket.destroy())
    }
  })))
}
