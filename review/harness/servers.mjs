// Stand-ins of servers and clients that follow the pages.
import { Agent, createServer, request as startRequest } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { guestHost } from './storeStandIn.mjs'

let started = 0

/** Starts a server. `onContact` may take over a request or a health check by returning true. */
export async function startServer ({ service, zone, slots = 3, workMilliseconds = 40, maximumConnections = 283, onContact = () => false, onRun = () => {} }) {
  started += 1
  const server = { id: `i-${started}`, service, zone, slots, born: Date.now(), address: '', running: 0, waiting: [], sockets: new Set(), rejectedConnections: 0 }
  const describeLoad = () => ({ 'x-instance-id': server.id, 'x-server-load': `${server.running},${server.waiting.length},${slots},100` })
  const finish = () => {
    server.running -= 1
    server.waiting.shift()?.()
  }
  const run = async (request, response, body) => {
    const id = request.headers['x-request-id']
    server.running += 1
    onRun({ server, id, method: request.method, path: request.url })
    await pause(workMilliseconds)
    finish()
    const content = JSON.stringify({ id, server: server.id, path: request.url, bytes: body.length })
    response.writeHead(200, { ...describeLoad(), 'x-request-id': id, 'x-response-signature': `signed-${id}`, 'content-length': Buffer.byteLength(content) }).end(content)
  }
  const listener = createServer((request, response) => {
    response.on('error', () => {})
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => {
      if (onContact({ server, request, response, isHealthCheck: request.url === '/health' })) return
      if (request.url === '/health') return response.writeHead(200, { ...describeLoad(), 'content-length': 0 }).end()
      const id = request.headers['x-request-id']
      const reject = status => response.writeHead(status, { ...describeLoad(), 'x-request-id': id, 'x-not-executed': '1', 'content-length': 0 }).end()
      const expected = request.headers['x-expect-instance']
      if (expected !== undefined && expected !== server.id) return reject(421)
      const begin = () => run(request, response, Buffer.concat(chunks))
      if (server.running < slots) return begin()
      if (server.waiting.length >= 12) return reject(503)
      server.waiting.push(begin)
    })
  })
  listener.keepAliveTimeout = 10_000
  listener.on('connection', socket => {
    socket.on('error', () => {})
    if (server.sockets.size >= maximumConnections) {
      server.rejectedConnections += 1
      socket.resetAndDestroy()
      return
    }
    server.sockets.add(socket)
    socket.on('close', () => server.sockets.delete(socket))
  })
  await new Promise(resolve => listener.listen(0, '127.0.0.1', resolve))
  server.address = `127.0.0.1:${listener.address().port}`
  server.stop = () => {
    listener.close()
    server.sockets.forEach(socket => socket.destroy())
  }
  return server
}

const agents = new Map()

/** Sends one request of a client. Resolves with its status, or 0 for a connection that ended without a complete answer. */
export function sendRequest ({ host, path, method = 'GET', id, deadlineMilliseconds = 2_500 }) {
  const [name, port] = host.listen.frontend.split(':')
  const agent = agents.get(host.listen.frontend) ?? new Agent({ keepAlive: true })
  agents.set(host.listen.frontend, agent)
  return new Promise(resolve => {
    const request = startRequest({ agent, host: name, port: Number(port), method, path, headers: { host: guestHost, 'x-request-id': id, 'x-deadline-ms': String(deadlineMilliseconds), ...(method === 'GET' ? {} : { 'content-length': 0 }) } }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('end', () => finish({ status: response.statusCode, body: Buffer.concat(chunks).toString('latin1'), isSigned: response.headers['x-response-signature'] !== undefined }))
      response.on('error', error => finish({ status: 0, reason: error.message }))
    })
    const timer = setTimeout(() => request.destroy(new Error('no answer before the deadline of the client')), deadlineMilliseconds + 500)
    const finish = result => {
      clearTimeout(timer)
      resolve(result)
    }
    request.on('error', error => finish({ status: 0, reason: error.message }))
    request.end()
  })
}

export const closeClients = () => agents.forEach(agent => agent.destroy())
