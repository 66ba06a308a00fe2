// A small stand-in of an endpoint, as PROTOCOL.md describes it. `decide` may say otherwise for a request: `{ shed: true }` rejects it as not run.
import { createHash } from 'node:crypto'
import { createServer } from 'node:http'

const heartbeatMilliseconds = 1_500

export const signOf = (requestId, body) => createHash('sha256').update(`${requestId}\n${body}`).digest('hex').slice(0, 24)

export async function startEndpoint ({ id, service, zone, store, record, slots = 4, queue = 8, workMilliseconds = 40, decide = () => ({}), headers = () => ({}) }) {
  let running = 0
  let sequence = 0
  const waiting = []
  const born = Date.now()
  const loadOf = () => ({ 'x-server-load': `${running},${waiting.length},${slots},100`, 'x-instance-id': id, ...headers() })

  const start = (request, response, body) => {
    const requestId = request.headers['x-request-id']
    const decision = decide(request, body)
    running += 1
    record('runs', { endpoint: id, request: requestId, method: request.method, path: request.url })
    const end = how => {
      clearTimeout(timer)
      response.off('close', cut)
      running -= 1
      record('run-ends', { endpoint: id, request: requestId, how })
      const next = waiting.shift()
      if (next !== undefined) start(...next)
    }
    const cut = () => end('cut')
    const timer = setTimeout(() => {
      end('done')
      const text = `${id} ${request.method} ${request.url} ${createHash('sha256').update(body).digest('hex')}`
      const status = decision.status ?? 200
      response.writeHead(status, { ...loadOf(), 'x-request-id': requestId, 'x-response-signature': signOf(requestId, text), 'content-length': Buffer.byteLength(text) })
      response.end(text)
    }, decision.workMilliseconds ?? workMilliseconds * (0.7 + 0.6 * Math.random()))
    response.on('close', cut)
  }
  const server = createServer((request, response) => {
    response.on('error', () => {})
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => {
      if (request.url === '/health') {
        record('probe', { endpoint: id })
        response.writeHead(200, { ...loadOf(), 'content-length': 0 }).end()
        return
      }
      const requestId = request.headers['x-request-id']
      record('arrives', { endpoint: id, request: requestId, deadline: request.headers['x-deadline-ms'] })
      const reject = (status, why, more = {}) => {
        record('rejected', { endpoint: id, request: requestId, why })
        response.writeHead(status, { ...loadOf(), 'x-request-id': requestId, 'x-not-executed': '1', 'content-length': 0, ...more }).end()
      }
      if (requestId === undefined) {
        response.writeHead(400, { ...loadOf(), 'x-not-executed': '1', 'content-length': 0 }).end()
        return
      }
      if (request.headers['x-expect-instance'] !== undefined && request.headers['x-expect-instance'] !== id) return reject(421, 'another instance')
      const decision = decide(request)
      if (decision.shed) return reject(503, 'shed', decision.headers)
      if (running < slots) return start(request, response, Buffer.concat(chunks))
      if (waiting.length >= queue) return reject(503, 'full')
      const entry = [request, response, Buffer.concat(chunks)]
      waiting.push(entry)
      response.on('close', () => {
        const index = waiting.indexOf(entry)
        if (index >= 0) waiting.splice(index, 1)
      })
    })
  })
  server.keepAliveTimeout = 10_000
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${server.address().port}`
  const write = (state = 'ready') => {
    sequence += 1
    store.put('servers', id, { service, address, zone, version: 'v1', slots, state, warmupLeftS: 0, sequence, born })
  }
  write()
  const heartbeat = setInterval(write, heartbeatMilliseconds)
  return {
    id,
    address,
    /** Announces that the endpoint leaves, or has its entry removed without a word. It goes on serving. */
    leave: isAnnounced => {
      clearInterval(heartbeat)
      if (isAnnounced) write('draining')
      else store.remove('servers', id)
    },
    stop: () => {
      clearInterval(heartbeat)
      server.close()
      server.closeAllConnections()
    }
  }
}
