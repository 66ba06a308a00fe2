// The store is down once. Much later, the host that watches the store freezes and a server leaves without an announcement. The host that
// takes over still has the outage noted as open, since its watch has been idle since then. It takes the first answer of the store for
// the end of that outage and holds all removals of servers, so that the hosts of its zone go on sending to the server that is gone.
import { fileURLToPath } from 'node:url'
import { contactMilliseconds, createRecord, drainMilliseconds, pause, startDeployment } from '../harness/deployment.mjs'
import { closeClients, sendRequest, startServer } from '../harness/servers.mjs'
import { createRoute, createStoreRows, startLink, startStore } from '../harness/storeStandIn.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const zones = { north: 4, south: 2 }
const serversPerZone = 4
const outageMilliseconds = 4_500
const calmMilliseconds = 15_000
const freezeMilliseconds = 3_500
/** The entry is removed this long after the freeze began. */
const removalDelayMilliseconds = 200
/** The leaving server serves for drainS and a little longer. */
const servesOnMilliseconds = 5_000
const requestIntervalMilliseconds = 8

const record = createRecord(fileURLToPath(new URL('.', import.meta.url)))
const servers = []
const sentTo = new Map()
const counts = { sent: 0, answered: 0, notAnswered: 0 }
let leaving
let removedAt = Infinity
const late = []
let runsAfterRemoval = 0

function recordRun ({ server, id }) {
  if (server !== leaving || removedAt === Infinity) return
  runsAfterRemoval += 1
  const milliseconds = Math.round(performance.now() - removedAt)
  if (milliseconds <= drainMilliseconds) return
  late.push({ id, milliseconds, host: sentTo.get(id)?.name })
  record.add('request reached the server that is gone', { id, host: sentTo.get(id)?.name, afterRemoval: `${milliseconds}ms` })
}

async function run () {
  const store = await startStore()
  const rows = createStoreRows(store)
  rows.putConfiguration(2, [createRoute({ name: 'reads', prefix: '/reads/', kind: 'safe', service: 'desk' })], [{ name: 'desk', healthPath: '/health', maxConns: 283 }])
  for (const zone of Object.keys(zones)) {
    for (let index = 0; index < serversPerZone; index += 1) servers.push(await startServer({ service: 'desk', zone, onRun: recordRun }))
  }
  servers.forEach(server => rows.putServer(server))
  const links = new Map()
  const linkOf = async name => {
    links.set(name, await startLink(store.address))
  }
  for (const [zone, count] of Object.entries(zones)) for (let index = 1; index <= count; index += 1) await linkOf(`front-${zone}-${index}`)
  const deployment = await startDeployment({ zones, storeAddressOf: ({ name }) => links.get(name).address, record })
  const [watcher] = deployment.hosts
  let excluded
  try {
    await deployment.waitUntilReady()
    record.add('ready')
    const traffic = setInterval(() => {
      counts.sent += 1
      const hosts = deployment.hosts.filter(host => host !== excluded)
      const host = hosts[counts.sent % hosts.length]
      const id = `r-${counts.sent}`
      sentTo.set(id, host)
      sendRequest({ host, path: `/reads/${counts.sent}`, id }).then(({ status }) => {
        if (status === 200) counts.answered += 1
        else counts.notAnswered += 1
      })
    }, requestIntervalMilliseconds)
    await pause(contactMilliseconds)

    if (hasTrouble) {
      record.add('store down', { forMilliseconds: outageMilliseconds })
      links.forEach(link => link.cut())
    }
    await pause(outageMilliseconds)
    links.forEach(link => link.heal())
    record.add('store up')
    await pause(calmMilliseconds)

    if (hasTrouble) {
      // Clients leave the frozen host, so that only hosts in touch get requests.
      excluded = watcher
      watcher.child.kill('SIGSTOP')
      record.add('host frozen', { host: watcher.name, forMilliseconds: freezeMilliseconds })
    }
    await pause(removalDelayMilliseconds)
    leaving = servers[0]
    rows.removeServer(leaving)
    removedAt = performance.now()
    record.add('entry removed, acknowledged by the store', { server: leaving.id, zone: leaving.zone })
    await pause(freezeMilliseconds - removalDelayMilliseconds)
    if (hasTrouble) {
      watcher.child.kill('SIGCONT')
      record.add('host goes on', { host: watcher.name })
    }
    await pause(servesOnMilliseconds - freezeMilliseconds + removalDelayMilliseconds)
    clearInterval(traffic)
    leaving.stop()
    await pause(300)
    deployment.hosts.forEach(host => deployment.readLog(host).split('\n').filter(line => line.includes('"store regained"') && line.includes('table=servers')).forEach(line => record.add('log', { line: JSON.stringify(line) })))
    const isBroken = late.length > 0
    record.add('end', { ...counts, runsAfterRemoval, laterThanDrain: late.length, latest: `${Math.max(0, ...late.map(({ milliseconds }) => milliseconds))}ms`, hosts: [...new Set(late.map(({ host }) => host))].join('/'), isBroken })
    return isBroken ? 1 : 0
  } finally {
    await deployment.stop()
    closeClients()
    servers.forEach(server => server.stop())
    links.forEach(link => link.close())
    await store.close()
  }
}

run().catch(error => {
  record.add('the case could not run', { reason: String(error.stack) })
  return 2
}).then(code => {
  record.write()
  process.exit(code)
})
