// Measures the socket bytes and the processor time of an exchange over a reused session, and the bytes
// of the first exchange of a session. Run: node peers/exchange/lib/src/measurement/measureExchange.js
import { createPeerClient } from '../createPeerClient.js'
import { startRelay } from './startRelay.js'
import { makeMessage, peerKey, startSamplePeer } from './startSamplePeer.js'

const exchanges = 2_000
const warmUpExchanges = 200
const pauseMilliseconds = 2

const repeat = async (count: number, step: () => Promise<unknown>): Promise<void> => {
  if (count === 0) return
  await step()
  await repeat(count - 1, step)
}

async function measure (members: number, loadReports: number): Promise<void> {
  const server = await startSamplePeer()
  const relay = await startRelay(server.address)
  const message = makeMessage(members, loadReports)
  const client = createPeerClient({ address: relay.address, key: peerKey, timeoutMilliseconds: 1_000 })
  const exchangeOnce = async (): Promise<void> => {
    const result = await client.exchange(message)
    if (!result.ok) throw new Error(result.error.message)
  }
  await exchangeOnce()
  await new Promise(resolve => { setTimeout(resolve, 50) })
  const first = relay.sent() + relay.received()
  await repeat(warmUpExchanges, exchangeOnce)
  const before = { sent: relay.sent(), received: relay.received() }
  // A pause between exchanges keeps frames of neighbouring exchanges apart, as they are at two a second.
  await repeat(exchanges / 10, async () => {
    await exchangeOnce()
    await new Promise(resolve => { setTimeout(resolve, pauseMilliseconds) })
  })
  const bytes = { request: (relay.sent() - before.sent) / (exchanges / 10), answer: (relay.received() - before.received) / (exchanges / 10) }
  relay.close()

  const direct = createPeerClient({ address: server.address, key: peerKey, timeoutMilliseconds: 1_000 })
  await repeat(warmUpExchanges, () => direct.exchange(message))
  const startUsage = process.cpuUsage()
  await repeat(exchanges, () => direct.exchange(message))
  const usage = process.cpuUsage(startUsage)
  console.log(`members=${members} loadReports=${loadReports} requestBytes=${bytes.request.toFixed(0)} answerBytes=${bytes.answer.toFixed(0)} firstExchangeBytes=${first} microsecondsBothEnds=${((usage.user + usage.system) / exchanges).toFixed(0)}`)
  client.close()
  direct.close()
  await server.close(100)
}

await measure(0, 0)
await measure(2, 0)
await measure(7, 0)
await measure(2, 4)
await measure(7, 32)
