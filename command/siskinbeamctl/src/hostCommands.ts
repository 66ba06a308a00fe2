// Commands on entry hosts: status of all of them, dump of one.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { formatCodedError, succeed, type Result } from '@siskinbeam/result-codes/codedError'
import type { PeerStatus } from '@siskinbeam/protocol/peerStatus'
import type { BundleHead } from '@siskinbeam/rollout/bundleStores'
import type { CommandContext, CommandResult } from './commandContext.js'
import { readDump, readStatus } from './connectPeers.js'
import { createHeadStore, listEntryHosts, type EntryHost } from './connectPlatform.js'

enum Agreement {
  Same = 'same',
  Differs = 'differs',
  Unreachable = 'unreachable'
}

interface AskedHost extends EntryHost {
  answer: Result<PeerStatus>
}

/**
 * Prints the signed version in force on each entry host, and which hosts differ from the head or did
 * not answer. While the table service does not answer, hosts are compared with the newest among them.
 */
export async function showHosts (context: CommandContext, addresses: string[]): Promise<CommandResult> {
  const key = context.settings('operatorKey')
  if (!key.ok) return [key.error]
  const hosts = await findHosts(context, addresses)
  if (!hosts.ok) return [hosts.error]
  const { operatorKey } = key.value
  const asked = await Promise.all(hosts.value.map(async host => ({ ...host, answer: await readStatus({ connect: context.connectPeer, address: host.address, operatorKey }) })))
  const head = await findHead(context) ?? findNewest(asked)
  const agreements = asked.map(({ answer }) => compare(answer, head))
  asked.forEach((host, index) => context.writeOutput(formatHost(host, agreements[index] as Agreement)))
  const counts = Object.values(Agreement).map(agreement => `${agreement}=${agreements.filter(found => found === agreement).length}`)
  context.writeOutput(`hosts=${asked.length} ${counts.join(' ')} head=${head?.version ?? 'none'} digest=${head?.digest ?? 'none'}`)
  return []
}

/** Prints the state of one entry host as JSON. */
export async function dumpHost (context: CommandContext, address: string): Promise<CommandResult> {
  const key = context.settings('operatorKey')
  if (!key.ok) return [key.error]
  const dump = await readDump({ connect: context.connectPeer, address, operatorKey: key.value.operatorKey })
  if (!dump.ok) return [dump.error]
  context.writeOutput(JSON.stringify(dump.value, null, 2))
  return []
}

async function findHosts (context: CommandContext, addresses: string[]): Promise<Result<EntryHost[]>> {
  if (addresses.length > 0) return succeed(addresses.map(address => ({ name: address, address })))
  const settings = context.settings('hostListAddress')
  return settings.ok ? listEntryHosts(context.connectHostList({ address: settings.value.hostListAddress })) : settings
}

async function findHead (context: CommandContext): Promise<BundleHead | undefined> {
  const settings = context.settings('tableAddress')
  const stored = settings.ok ? await createHeadStore(context.connectTable({ address: settings.value.tableAddress })).readHead() : settings
  if (stored.ok) return stored.value.head ?? undefined
  context.writeError(`${formatCodedError(stored.error)}; hosts are compared with the newest among them`)
  return undefined
}

function findNewest (asked: AskedHost[]): BundleHead | undefined {
  return asked.flatMap(({ answer }) => answer.ok && answer.value.bundleVersion > 0 ? [answer.value] : [])
    .map(({ bundleVersion, bundleDigest }) => ({ version: bundleVersion, digest: bundleDigest }))
    .reduce<BundleHead | undefined>((newest, found) => found.version > (newest?.version ?? 0) ? found : newest, undefined)
}

function compare (answer: Result<PeerStatus>, head: BundleHead | undefined): Agreement {
  if (!answer.ok) return Agreement.Unreachable
  return answer.value.bundleVersion === (head?.version ?? 0) && answer.value.bundleDigest === (head?.digest ?? '') ? Agreement.Same : Agreement.Differs
}

function formatHost ({ name, address, answer }: AskedHost, agreement: Agreement): string {
  if (!answer.ok) return `host=${name} address=${address} state=${agreement} code=${answer.error.code} name=${ResultCode[answer.error.code]}`
  const { bundleVersion, bundleDigest, signers, leaving, inFlight, bootId, isolatedMilliseconds } = answer.value
  return `host=${name} address=${address} state=${agreement} version=${bundleVersion} digest=${bundleDigest} signers=${signers.join(',')} boot=${bootId} leaving=${leaving} inFlight=${inFlight} isolatedMilliseconds=${isolatedMilliseconds}`
}
