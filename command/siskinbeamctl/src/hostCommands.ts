// Commands that query entry hosts: status of all entry hosts, dump of one.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { formatCodedError, succeed, type Result } from '@siskinbeam/result-codes/codedError'
import type { PeerStatus } from '@siskinbeam/protocol/peerStatus'
import type { BundleHead } from '@siskinbeam/rollout/bundleStores'
import type { CommandContext, CommandResult } from './commandContext.js'
import { fetchPeerDump, fetchPeerStatus } from './peerCalls.js'
import { createHeadStore, listEntryHosts, type EntryHost } from './platformAdapters.js'

/** How the active bundle of an entry host compares with the head. The values are part of the output. */
enum HostBundleState {
  Same = 'same',
  Differs = 'differs',
  Unreachable = 'unreachable'
}

interface QueriedHost extends EntryHost {
  status: Result<PeerStatus>
}

/**
 * Prints the active signed bundle version of each entry host, and which hosts differ from the head or are
 * unreachable. While the table service is unavailable, hosts are compared with the newest bundle among them.
 */
export async function showHosts (context: CommandContext, addresses: string[]): Promise<CommandResult> {
  const key = context.readSettings('operatorKey')
  if (!key.ok) return [key.error]
  const hosts = await findHosts(context, addresses)
  if (!hosts.ok) return [hosts.error]
  const { operatorKey } = key.value
  const queried = await Promise.all(hosts.value.map(async host => ({ ...host, status: await fetchPeerStatus({ connect: context.connectPeer, address: host.address, operatorKey }) })))
  const head = await findHead(context) ?? findNewestHead(queried)
  const states = queried.map(({ status }) => compareWithHead(status, head))
  queried.forEach((host, index) => context.writeOutput(formatHost(host, states[index] as HostBundleState)))
  const counts = Object.values(HostBundleState).map(state => `${state}=${states.filter(found => found === state).length}`)
  context.writeOutput(`hosts=${queried.length} ${counts.join(' ')} head=${head?.version ?? 'none'} digest=${head?.digest ?? 'none'}`)
  return []
}

/** Prints the state of one entry host as JSON. */
export async function dumpHost (context: CommandContext, address: string): Promise<CommandResult> {
  const key = context.readSettings('operatorKey')
  if (!key.ok) return [key.error]
  const dump = await fetchPeerDump({ connect: context.connectPeer, address, operatorKey: key.value.operatorKey })
  if (!dump.ok) return [dump.error]
  context.writeOutput(JSON.stringify(dump.value, null, 2))
  return []
}

async function findHosts (context: CommandContext, addresses: string[]): Promise<Result<EntryHost[]>> {
  if (addresses.length > 0) return succeed(addresses.map(address => ({ name: address, address })))
  const settings = context.readSettings('hostListAddress')
  return settings.ok ? listEntryHosts(context.connectHostList({ address: settings.value.hostListAddress })) : settings
}

async function findHead (context: CommandContext): Promise<BundleHead | undefined> {
  const settings = context.readSettings('tableAddress')
  const stored = settings.ok ? await createHeadStore(context.connectTable({ address: settings.value.tableAddress })).readHead() : settings
  if (stored.ok) return stored.value.head ?? undefined
  context.writeError(`${formatCodedError(stored.error)}; hosts are compared with the newest among them`)
  return undefined
}

function findNewestHead (queried: QueriedHost[]): BundleHead | undefined {
  return queried.flatMap(({ status }) => status.ok && status.value.bundleVersion > 0 ? [status.value] : [])
    .map(({ bundleVersion, bundleDigest }) => ({ version: bundleVersion, digest: bundleDigest }))
    .reduce<BundleHead | undefined>((newest, found) => found.version > (newest?.version ?? 0) ? found : newest, undefined)
}

function compareWithHead (status: Result<PeerStatus>, head: BundleHead | undefined): HostBundleState {
  if (!status.ok) return HostBundleState.Unreachable
  return status.value.bundleVersion === (head?.version ?? 0) && status.value.bundleDigest === (head?.digest ?? '') ? HostBundleState.Same : HostBundleState.Differs
}

function formatHost ({ name, address, status }: QueriedHost, state: HostBundleState): string {
  if (!status.ok) return `host=${name} address=${address} state=${state} code=${status.error.code} name=${ResultCode[status.error.code]}`
  const { bundleVersion, bundleDigest, signers, leaving, inFlight, bootId, isolatedMilliseconds } = status.value
  return `host=${name} address=${address} state=${state} version=${bundleVersion} digest=${bundleDigest} signers=${signers.join(',')} boot=${bootId} leaving=${leaving} inFlight=${inFlight} isolatedMilliseconds=${isolatedMilliseconds}`
}
