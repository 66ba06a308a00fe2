// Commands for signing keys and bundle files: key create, bundle check, sign, approve, diff.
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type Result } from '@siskinbeam/result-codes/codedError'
import { diffBundles, formatDifference } from '@siskinbeam/rollout/diffBundles'
import { listBundleErrors } from '@siskinbeam/schema/validateBundle'
import { digestBundle } from '@siskinbeam/signatures/digestBundle'
import { validateSignedBundle, createSignedBundle, serializeSignedBundle, SignerRole, type SignedBundle } from '@siskinbeam/signatures/signedBundle'
import { createSigningKeyPair } from '@siskinbeam/signatures/signingKeys'
import { signBundle } from '@siskinbeam/signatures/signBundle'
import { loadSignedBundle, readJsonFile, verifyDocument, type CommandContext, type CommandResult } from './commandContext.js'

const isSigned = (document: unknown): boolean => typeof document === 'object' && document !== null && 'documentVersion' in document

/** Prints a new key pair. The private key is printed once and is not stored. */
export async function createKey (context: CommandContext): Promise<CommandResult> {
  const { publicKey, privateKey } = createSigningKeyPair()
  context.writeOutput(`publicKey=${publicKey}`)
  context.writeOutput(`privateKey=${privateKey}`)
  return []
}

/** Validates a bundle body or a signed document. Returns all errors, or prints the digest if there are none. */
export async function checkBundleFile (context: CommandContext, path: string): Promise<CommandResult> {
  const read = await readJsonFile(context, path)
  if (!read.ok) return [read.error]
  const signed = isSigned(read.value) ? validateSignedBundle(read.value) : undefined
  if (signed !== undefined && !signed.ok) return [signed.error]
  const { bundle, errors } = listBundleErrors(signed === undefined ? read.value : signed.value.body)
  if (bundle === undefined) return errors
  const digest = digestBundle(signed === undefined ? read.value : signed.value.body)
  if (!digest.ok) return [digest.error]
  if (signed !== undefined && signed.value.digest !== digest.value) return [fail(ResultCode.BundleDigestMismatch, 'the body was changed after it was signed', { key: 'digest', expected: digest.value }).error]
  context.writeOutput(`valid name=${bundle.name} version=${bundle.version} digest=${digest.value}`)
  return []
}

/** Signs a bundle body as its author and writes the signed document. */
export async function signBundleFile (context: CommandContext, path: string, output: string): Promise<CommandResult> {
  const read = await readJsonFile(context, path)
  if (!read.ok) return [read.error]
  const document = isSigned(read.value) ? validateSignedBundle(read.value) : createSignedBundle(read.value)
  return document.ok ? writeSigned(context, document.value, SignerRole.Author, output) : [document.error]
}

/** Adds the approver's signature to a document that its author has signed, and verifies both signatures. */
export async function approveBundleFile (context: CommandContext, path: string, output: string): Promise<CommandResult> {
  const document = await loadSignedBundle(context, path)
  if (!document.ok) return [document.error]
  if (!document.value.signatures.some(({ role }) => role === SignerRole.Author)) {
    return [fail(ResultCode.BundleNotApproved, 'the author has not signed the bundle', { key: 'signatures.author', expected: 'a document made by "bundle sign"' }).error]
  }
  return writeSigned(context, document.value, SignerRole.Approver, output, signed => {
    const verified = verifyDocument(context, signed)
    return verified.ok ? succeed(signed) : verified
  })
}

type Verify = (signed: SignedBundle) => Result<SignedBundle>

async function writeSigned (context: CommandContext, document: SignedBundle, role: SignerRole, output: string, verify: Verify = succeed): Promise<CommandResult> {
  const settings = context.readSettings('signingKey')
  if (!settings.ok) return [settings.error]
  const signed = signBundle({ document, role, privateKey: settings.value.signingKey })
  if (!signed.ok) return [signed.error]
  const checked = verify(signed.value)
  if (!checked.ok) return [checked.error]
  try {
    await context.writeFile(output, serializeSignedBundle(checked.value))
  } catch (error) {
    return [fail(ResultCode.SettingInvalid, `cannot write the file: ${(error as Error).message}`, { key: 'output', expected: 'a writable file' }).error]
  }
  const { name, version } = checked.value.body
  context.writeOutput(`signed role=${role} name=${String(name)} version=${String(version)} digest=${checked.value.digest} file=${output}`)
  return []
}

/** Prints the differences between two bundles, each given as a file, a digest or a version. */
export async function diffBundleReferences (context: CommandContext, before: string, after: string): Promise<CommandResult> {
  const [first, second] = [await loadBody(context, before), await loadBody(context, after)]
  if (!first.ok) return [first.error]
  if (!second.ok) return [second.error]
  diffBundles(first.value, second.value).map(formatDifference).forEach(context.writeOutput)
  return []
}

async function loadBody (context: CommandContext, reference: string): Promise<Result<unknown>> {
  if (!/^(\d+|[0-9a-f]{64})$/.test(reference)) {
    const read = await readJsonFile(context, reference)
    if (!read.ok || !isSigned(read.value)) return read
  }
  const document = await loadSignedBundle(context, reference)
  return document.ok ? succeed(document.value.body) : document
}
