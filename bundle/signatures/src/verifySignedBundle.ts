// Verifies a signed bundle document before any part of it is used. Each host verifies documents itself,
// whether they come from the store or from a peer.
import { verify } from 'node:crypto'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type CodedError, type Result } from '@siskinbeam/result-codes/codedError'
import type { Bundle } from '@siskinbeam/schema/bundle'
import { validateBundle } from '@siskinbeam/schema/validateBundle'
import { digestBundle } from './digestBundle.js'
import { normalizePublicKey, type TrustedKeys } from './signingKeys.js'
import { validateSignedBundle, encodeSignedMessage, SignerRole, type BundleSignature, type SignedBundle } from './signedBundle.js'

export interface VerifySignedBundleOptions {
  document: unknown
  trustedKeys: TrustedKeys
  /** Version of the active bundle; the document must have a greater one. If absent, any version is accepted. */
  activeVersion?: number
}

/** A document whose digest, schema and signatures are verified. */
export interface VerifiedBundle {
  bundle: Bundle
  digest: string
  /** Public keys by role, base64 of the raw key. */
  signers: Record<SignerRole, string>
  document: SignedBundle
}

/**
 * Verifies, in this order: structure (BundleInvalid), digest (BundleDigestMismatch), schema (BundleInvalid),
 * version (BundleVersionStale), presence of an author and a different approver (BundleNotApproved), and then for the
 * author and the approver trust in the key (BundleKeyUnknown) and the signature (BundleSignatureInvalid).
 */
export function verifySignedBundle ({ document, trustedKeys, activeVersion }: VerifySignedBundleOptions): Result<VerifiedBundle> {
  const parsed = validateSignedBundle(document)
  if (!parsed.ok) return parsed
  const digest = digestBundle(parsed.value.body)
  if (!digest.ok) return digest
  if (digest.value !== parsed.value.digest) return fail(ResultCode.BundleDigestMismatch, 'the digest of the body differs from the digest in the document', { key: 'digest', expected: digest.value })
  const bundle = validateBundle(parsed.value.body)
  if (!bundle.ok) return bundle
  if (activeVersion !== undefined && bundle.value.version <= activeVersion) {
    return fail(ResultCode.BundleVersionStale, `version ${bundle.value.version} is not greater than the active version ${activeVersion}`, { key: 'version', expected: `at least ${activeVersion + 1}` })
  }
  return verifySigners(parsed.value, bundle.value, trustedKeys)
}

function verifySigners (document: SignedBundle, bundle: Bundle, trustedKeys: TrustedKeys): Result<VerifiedBundle> {
  const author = findSignature(document, SignerRole.Author)
  const approver = findSignature(document, SignerRole.Approver)
  if (author === undefined) return fail(ResultCode.BundleNotApproved, 'the signature of the author is missing', { key: 'signatures.author', expected: 'a signature of the author' })
  if (approver === undefined) return fail(ResultCode.BundleNotApproved, 'the signature of the approver is missing', { key: 'signatures.approver', expected: 'a signature of the approver' })
  const signers = { [SignerRole.Author]: normalizePublicKey(author.publicKey), [SignerRole.Approver]: normalizePublicKey(approver.publicKey) }
  if (signers.author === signers.approver) return fail(ResultCode.BundleNotApproved, 'author and approver have the same key', { key: 'signatures.approver', expected: 'the key of another person' })
  const error = [author, approver].map(signature => findSignatureError(signature, document, bundle, trustedKeys)).find(found => found !== undefined)
  if (error !== undefined) return { ok: false, error }
  return succeed({ bundle, digest: document.digest, signers, document })
}

function findSignature (document: SignedBundle, role: SignerRole): BundleSignature | undefined {
  return document.signatures.find(signature => signature.role === role)
}

function findSignatureError (signature: BundleSignature, document: SignedBundle, bundle: Bundle, trustedKeys: TrustedKeys): CodedError | undefined {
  const { role } = signature
  const key = trustedKeys.get(normalizePublicKey(signature.publicKey))
  if (key === undefined) return { code: ResultCode.BundleKeyUnknown, message: `the key of the ${role} is not trusted`, key: `signatures.${role}.publicKey`, expected: 'one of the trusted keys' }
  const message = encodeSignedMessage(role, bundle, document.digest)
  if (verify(null, message, key, Buffer.from(signature.signature, 'base64'))) return undefined
  return { code: ResultCode.BundleSignatureInvalid, message: `the signature of the ${role} does not match`, key: `signatures.${role}.signature`, expected: 'a signature over this body and role' }
}
