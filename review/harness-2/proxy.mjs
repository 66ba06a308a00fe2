// A TCP proxy on loopback. Its open connections can go silent for good, without a reset, while new ones work.
import { connect, createServer } from 'node:net'

/** `onRequest` is called with the first line of each chunk that a caller sends. */
export async function startProxy (target, onRequest = () => {}) {
  const [host, port] = target.split(':')
  const pairs = new Set()
  const server = createServer(socket => {
    const other = connect({ host, port: Number(port) })
    const pair = { socket, other, isSilent: false }
    pairs.add(pair)
    const end = () => {
      if (pair.isSilent) return
      pairs.delete(pair)
      socket.destroy()
      other.destroy()
    }
    socket.on('data', bytes => {
      if (pair.isSilent) return
      onRequest(String(bytes).split('\r\n', 1)[0])
      other.write(bytes)
    })
    other.on('data', bytes => { if (!pair.isSilent) socket.write(bytes) })
    ;[socket, other].forEach(each => {
      each.setNoDelay(true)
      each.on('error', () => {})
      each.on('close', end)
    })
  })
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Silences the open connections, and returns their number. */
    silence: () => {
      pairs.forEach(pair => { pair.isSilent = true })
      return pairs.size
    },
    close: () => {
      server.close()
      pairs.forEach(({ socket, other }) => {
        socket.destroy()
        other.destroy()
      })
    }
  }
}
