// The dependencies of the commands, which tests replace to run the commands without files or network, and
// functions that load and verify bundle documents.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type CodedError, type Result } from '@siskinbeam/result-codes/codedError'
import { parseSignedBundle, type SignedBundle } from '@siskinbeam/signatures/signedBundle'
import { parseTrustedKeys } from '@siskinbeam/signatures/signingKeys'
import { verifySignedBundle, type VerifiedBundle } from '@siskinbeam/signatures/verifySignedBundle'
import type { CommandSettings, SettingName } from './commandSettings.js'
import type { ConnectPeer } from './peerCalls.js'
import { createBodyStore, createHeadStore, type PlatformConnectors } from './platformAdapters.js'

/** Input and output of the commands. */
export interface CommandDependencies extends PlatformConnectors {
  environment: Record<string, string | undefined>
  writeOutput: (line: string) => void
  writeError: (line: string) => void
  /** Throws if the file cannot be read. */
  readFile: (path: string) => Promise<Uint8Array>
  writeFile: (path: string, bytes: Uint8Array) => Promise<void>
  connectPeer: ConnectPeer
  wait: (milliseconds: number) => Promise<void>
  /** ISO 8601. */
  readClock: () => string
}

export interface CommandContext extends CommandDependencies {
  /** Reads the settings that the command requires. Fails with SettingMissing or SettingInvalid. */
  readSettings: <Name extends SettingName>(...required: Name[]) => Result<Pick<CommandSettings, Name>>
}

/** The result of a command: the errors to print, empty if it succeeded. */
export type CommandResult = CodedError[]

/** Reads a file; fails with BundleNotFound. */
export async function readFileBytes (context: CommandContext, path: string): Promise<Result<Uint8Array>> {
  try {
    return succeed(await context.readFile(path))
  } catch (error) {
    return fail(ResultCode.BundleNotFound, `cannot read the file: ${(error as Error).message}`, { key: path, expected: 'a bundle file' })
  }
}

/** Reads a JSON file; fails with BundleNotFound or BundleInvalid. */
export async function readJsonFile (context: CommandContext, path: string): Promise<Result<unknown>> {
  const bytes = await readFileBytes(context, path)
  if (!bytes.ok) return bytes
  try {
    return succeed(JSON.parse(Buffer.from(bytes.value).toString('utf8')))
  } catch (error) {
    return fail(ResultCode.BundleInvalid, `not JSON: ${(error as Error).message}`, { key: path, expected: 'a JSON document' })
  }
}

/**
 * Loads a signed document by version, digest or file name. Versions are looked up in the table service,
 * digests in the object store.
 */
export async function loadSignedBundle (context: CommandContext, reference: string): Promise<Result<SignedBundle>> {
  const bytes = await loadDocumentBytes(context, reference)
  return bytes.ok ? parseSignedBundle(bytes.value) : bytes
}

async function loadDocumentBytes (context: CommandContext, reference: string): Promise<Result<Uint8Array>> {
  if (/^\d+$/.test(reference)) {
    const settings = context.readSettings('tableAddress')
    if (!settings.ok) return settings
    const records = await createHeadStore(context.connectTable({ address: settings.value.tableAddress })).readRecords([Number(reference)])
    if (!records.ok) return records
    const record = records.value[0]
    if (record === undefined) return fail(ResultCode.BundleNotFound, `version ${reference} was never rolled out`, { key: reference, expected: 'a version that "bundle history" lists' })
    return loadDocumentBytes(context, record.digest)
  }
  if (!/^[0-9a-f]{64}$/.test(reference)) return readFileBytes(context, reference)
  const settings = context.readSettings('objectStoreAddress')
  if (!settings.ok) return settings
  return createBodyStore(context.connectObjects({ address: settings.value.objectStoreAddress })).getBody(reference)
}

/** Verifies the signatures of a document with the trusted keys from the settings. */
export function verifyDocument (context: CommandContext, document: SignedBundle): Result<VerifiedBundle> {
  const settings = context.readSettings('trustedKeys')
  if (!settings.ok) return settings
  const trustedKeys = parseTrustedKeys(settings.value.trustedKeys)
  return trustedKeys.ok ? verifySignedBundle({ document, trustedKeys: trustedKeys.value }) : trustedKeys
}
