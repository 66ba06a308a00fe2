// Commands that manage bundles stored on the platform: bundle submit, rollout, status, history.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { RolloutRecord } from '@siskinbeam/rollout/bundleStores'
import { serializeSignedBundle, parseSignedBundle } from '@siskinbeam/signatures/signedBundle'
import type { VerifiedBundle } from '@siskinbeam/signatures/verifySignedBundle'
import { loadSignedBundle, verifyDocument, type CommandContext, type CommandResult } from './commandContext.js'
import { createBodyStore, createHeadStore } from './platformAdapters.js'
import { rollOutBundle } from './rollOutBundle.js'

/** Verifies a signed and approved bundle and stores it in the object store. */
export async function submitBundle (context: CommandContext, path: string): Promise<CommandResult> {
  const settings = context.readSettings('objectStoreAddress', 'trustedKeys')
  if (!settings.ok) return [settings.error]
  const document = await loadSignedBundle(context, path)
  if (!document.ok) return [document.error]
  const verified = verifyDocument(context, document.value)
  if (!verified.ok) return [verified.error]
  const bodies = createBodyStore(context.connectObjects({ address: settings.value.objectStoreAddress }))
  const stored = await bodies.putBody(verified.value.digest, serializeSignedBundle(document.value))
  if (!stored.ok) return [stored.error]
  context.writeOutput(`submitted ${describe(verified.value)}`)
  return []
}

/** Makes a submitted bundle the head. Verifies the stored document first, since that is the one that hosts fetch. */
export async function rollOutSubmittedBundle (context: CommandContext, reference: string): Promise<CommandResult> {
  const settings = context.readSettings('tableAddress', 'objectStoreAddress', 'trustedKeys')
  if (!settings.ok) return [settings.error]
  const table = context.connectTable({ address: settings.value.tableAddress })
  const objects = context.connectObjects({ address: settings.value.objectStoreAddress })
  const document = await loadSignedBundle(context, reference)
  if (!document.ok) return [document.error]
  const bytes = await createBodyStore(objects).getBody(document.value.digest)
  if (!bytes.ok) return [bytes.error]
  const stored = parseSignedBundle(bytes.value)
  const verified = stored.ok ? verifyDocument(context, stored.value) : stored
  if (!verified.ok) return [verified.error]
  const result = await rollOutBundle({ verified: verified.value, headStore: createHeadStore(table), wait: context.wait, rolledOutAt: context.readClock() })
  if (!result.ok) return [result.error]
  context.writeOutput(`rolled out ${describe(verified.value)} head=${result.value.version}`)
  return []
}

function describe ({ bundle, digest }: VerifiedBundle): string {
  return `name=${bundle.name} version=${bundle.version} digest=${digest}`
}

/** Prints the head, and its signers if the signatures of the stored document are valid. */
export async function showHead (context: CommandContext): Promise<CommandResult> {
  const settings = context.readSettings('tableAddress', 'objectStoreAddress', 'trustedKeys')
  if (!settings.ok) return [settings.error]
  const table = context.connectTable({ address: settings.value.tableAddress })
  const objects = context.connectObjects({ address: settings.value.objectStoreAddress })
  const stored = await createHeadStore(table).readHead()
  if (!stored.ok) return [stored.error]
  const { head } = stored.value
  if (head === null) return [{ code: ResultCode.BundleNotFound, message: 'no bundle is rolled out', key: 'bundle/head', expected: 'a rollout' }]
  context.writeOutput(`head version=${head.version} digest=${head.digest}`)
  const bytes = await createBodyStore(objects).getBody(head.digest)
  if (!bytes.ok) return [bytes.error]
  const document = parseSignedBundle(bytes.value)
  const verified = document.ok ? verifyDocument(context, document.value) : document
  if (!verified.ok) return [verified.error]
  const { signers, bundle } = verified.value
  context.writeOutput(`verified name=${bundle.name} author=${signers.author} approver=${signers.approver}`)
  return []
}

/** Prints the most recent rollouts, newest first. */
export async function showHistory (context: CommandContext, limit: number): Promise<CommandResult> {
  const settings = context.readSettings('tableAddress')
  if (!settings.ok) return [settings.error]
  const headStore = createHeadStore(context.connectTable({ address: settings.value.tableAddress }))
  const stored = await headStore.readHead()
  if (!stored.ok) return [stored.error]
  const newest = stored.value.head?.version ?? 0
  const records = await headStore.readRecords(Array.from({ length: Math.min(limit, newest) }, (_, index) => newest - index))
  if (!records.ok) return [records.error]
  records.value.map(formatRecord).forEach(context.writeOutput)
  return []
}

function formatRecord ({ version, digest, name, author, approver, rolledOutAt }: RolloutRecord): string {
  return `version=${version} digest=${digest} name=${name} author=${author} approver=${approver} rolledOutAt=${rolledOutAt}`
}
