// A TCP proxy as a process of its own: stopped by a signal, it is silent, and its listener is soon full, so that new connections hang as
// behind a partition. Continued, it passes on what has waited. Prints its address.
import { connect, createServer } from 'node:net'

const [host, port] = process.argv[2].split(':')
const backlog = 1
const server = createServer(socket => {
  const other = connect({ host, port: Number(port) })
  socket.pipe(other)
  other.pipe(socket)
  ;[socket, other].forEach(each => {
    each.setNoDelay(true)
    each.on('error', () => {})
    each.on('close', () => {
      socket.destroy()
      other.destroy()
    })
  })
})
server.listen({ port: 0, host: '127.0.0.1', backlog }, () => process.stdout.write(`127.0.0.1:${server.address().port}\n`))
process.stdin.resume()
process.stdin.on('end', () => process.exit())
