// A small stand-in of the platform's store, as PROTOCOL.md describes it: tables of rows with one version counter and a change feed.
import { createServer } from 'node:http'

const writableTables = new Set(['op', 'servers'])

export async function startRowStore () {
  const rows = new Map()
  const changes = []
  const waiting = new Set()
  let version = 1
  const keyOf = ({ tableName, part = '', key }) => JSON.stringify([tableName, part, key])

  const apply = (upserts, remove) => {
    version += 1
    upserts.forEach(({ tableName, part = '', key, value }) => {
      const row = { tableName, part, key, value, rowVersion: version }
      rows.set(keyOf(row), row)
      changes.push({ ...row, deleted: false })
    })
    remove.forEach(({ tableName, part = '', key }) => {
      if (rows.delete(keyOf({ tableName, part, key }))) changes.push({ tableName, part, key, value: '', rowVersion: version, deleted: true })
    })
    ;[...waiting].forEach(resume => resume())
  }

  const handlers = {
    'GET /v1/rows-get': (query, body, reply) => {
      const limit = Number(query.get('limit') ?? 500)
      const found = [...rows.values()]
        .filter(row => row.tableName === query.get('tableName') && row.part === (query.get('part') ?? ''))
        .filter(({ key }) => key >= (query.get('rangeStart') ?? '') && (query.get('to') === null || key < query.get('to')))
        .sort((first, second) => first.key < second.key ? -1 : 1)
      reply(200, { rows: found.slice(0, limit), hasMore: found.length > limit })
    },
    'GET /v1/rows-feed': (query, body, reply) => {
      const after = Number(query.get('after'))
      const list = () => changes.filter(row => row.tableName === query.get('tableName') && row.rowVersion > after)
      const finish = () => {
        clearTimeout(timer)
        waiting.delete(resume)
        reply(200, { rows: list() })
      }
      const resume = () => { if (list().length > 0) finish() }
      const timer = setTimeout(finish, Math.min(30_000, Number(query.get('waitMs') ?? 0)))
      waiting.add(resume)
      resume()
    },
    'POST /v1/rows-tx': (query, body, reply) => {
      const { expect = [], upserts = [], remove = [] } = JSON.parse(body)
      if ([...upserts, ...remove].some(({ tableName }) => writableTables.has(tableName))) return reply(403, {})
      const current = expect.map(row => rows.get(keyOf(row)))
      if (expect.some(({ rowVersion }, index) => (current[index]?.rowVersion ?? 0) !== rowVersion)) return reply(412, { rows: current.filter(row => row !== undefined) })
      apply(upserts, remove)
      reply(200, {})
    }
  }
  const servers = []
  /** Opens a listener. Its callers see the rows as `rewrite` returns them, for example with the addresses that lead from their zone. */
  const listen = async (rewrite = row => row) => {
    const server = createServer((request, response) => serve(request, response, rewrite))
    server.keepAliveTimeout = 60_000
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
    servers.push(server)
    return `127.0.0.1:${server.address().port}`
  }
  const serve = (request, response, rewrite) => {
    response.on('error', () => {})
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => {
      const url = new URL(request.url, 'http://store')
      const handle = handlers[`${request.method} ${url.pathname}`]
      const reply = (status, fields) => {
        if (response.destroyed) return
        response.writeHead(status, { 'content-type': 'application/json', 'store-era': '1' })
        const rows = fields.rows === undefined ? {} : { rows: fields.rows.map(rewrite) }
        response.end(JSON.stringify({ ...fields, ...rows, rowVersion: version, nowS: performance.now() / 1_000 }))
      }
      if (handle === undefined) reply(404, {})
      else handle(url.searchParams, Buffer.concat(chunks).toString('utf8'), reply)
    })
  }
  return {
    address: await listen(),
    listen,
    put: (tableName, key, value) => apply([{ tableName, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], []),
    remove: (tableName, key) => apply([], [{ tableName, key }]),
    close: () => servers.forEach(server => {
      server.close()
      server.closeAllConnections()
    })
  }
}
