// Guards the lists of servers by service: against servers that stay listed after they left or moved, and
// against work for the servers of all services at each change of one.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { applyUpdate, createRegistry, ServerState, type RegisteredServer, type RegistryState } from '@siskinbeam/server-registry/serverRegistry'
import { createServerLinks, type ServerLinks } from '../src/servers/serverLinks.js'

const describeServer = (id: string, changes: Partial<RegisteredServer> = {}): RegisteredServer => ({
  id, boot: 1, service: 'desk', address: `127.0.0.1:${7_000 + id.length}`, dataCentre: 'north', slots: 3, state: ServerState.Ready, warmUpMilliseconds: 0, ...changes
})

function createLinks (): { registry: RegistryState, links: ServerLinks, apply: (servers: Array<[string, RegisteredServer | undefined]>) => void } {
  const registry = createRegistry()
  const links = createServerLinks({ host: 'host-1', dataCentre: 'north', countHosts: () => 1, dataCentres: 1, now: () => 0, onConnectionOpened: () => {} })
  let version = 0
  return {
    registry,
    links,
    apply: servers => {
      version += 1
      links.follow(registry, applyUpdate(registry, { whole: false, version, changes: servers.map(([id, server]) => ({ id, version, server })) }, 0))
    }
  }
}

const namesOf = (links: ServerLinks, service: string): string[] => links.listService(service).map(({ server }) => server.id).sort()

test('a service lists the servers that are there, also after one moved or left', () => {
  const { links, apply } = createLinks()
  apply([['a', describeServer('a')], ['b', describeServer('b')], ['c', describeServer('c', { service: 'issuer' })]])
  assert.deepEqual([namesOf(links, 'desk'), namesOf(links, 'issuer')], [['a', 'b'], ['c']])
  apply([['b', describeServer('b', { service: 'issuer', boot: 2 })]])
  assert.deepEqual([namesOf(links, 'desk'), namesOf(links, 'issuer')], [['a'], ['b', 'c']])
  apply([['c', undefined], ['b', undefined]])
  assert.deepEqual([namesOf(links, 'desk'), namesOf(links, 'issuer')], [['a'], []])
  links.close()
})

test('a change of one service does not go through the servers of another', () => {
  const { links, apply } = createLinks()
  let reads = 0
  const watched = Array.from({ length: 20 }, (_, index) => {
    const server = describeServer(`d${index}`)
    return Object.defineProperty({ ...server }, 'state', { enumerable: true, get: () => { reads += 1; return ServerState.Ready } }) as RegisteredServer
  })
  apply([...watched.map((server): [string, RegisteredServer] => [server.id, server]), ['i', describeServer('i', { service: 'issuer' })]])
  reads = 0
  apply([['i', undefined], ['j', describeServer('j', { service: 'issuer' })]])
  assert.equal(reads, 0)
  links.close()
})
