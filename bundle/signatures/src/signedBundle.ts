// Signed bundle document: the body as written by the operator, its digest, and the signatures of author and
// approver. The digest covers the body before defaults are applied, so that a release with other defaults
// does not invalidate signatures.
import { z } from 'zod'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type Result } from '@siskinbeam/result-codes/codedError'
import type { Bundle } from '@siskinbeam/schema/bundle'
import { validateBundle } from '@siskinbeam/schema/validateBundle'
import { digestBundle, formatCanonicalJson } from './digestBundle.js'

/** Role of the person who signs. */
export enum SignerRole {
  Author = 'author',
  Approver = 'approver'
}

// A bundle of 14,000 endpoints has about 2 MB. The limit bounds the size of unverified input that a host parses.
const maximumDocumentBytes = 16 * 1024 * 1024
const signatureDomain = 'siskinbeam bundle signature 1'

const signatureSchema = z.strictObject({
  role: z.enum(SignerRole),
  /** Base64 of the raw public key. */
  publicKey: z.string().max(100),
  /** Base64 of the 64 bytes of an Ed25519 signature. */
  signature: z.string().max(100)
})

const signedBundleSchema = z.strictObject({
  documentVersion: z.literal(1),
  /** SHA-256 of the canonical JSON of the body. */
  digest: z.string().regex(/^[0-9a-f]{64}$/),
  body: z.record(z.string(), z.unknown()),
  signatures: z.array(signatureSchema).max(2)
})

/** The signed bundle document as stored, sent between hosts and kept in operators' files. */
export type SignedBundle = z.output<typeof signedBundleSchema>
export type BundleSignature = SignedBundle['signatures'][number]

/** Validates the structure of a document; fails with BundleInvalid. Does not verify the signatures. */
export function validateSignedBundle (document: unknown): Result<SignedBundle> {
  const parsed = signedBundleSchema.safeParse(document)
  if (parsed.success) return succeed(parsed.data)
  const issue = parsed.error.issues[0]
  return fail(ResultCode.BundleInvalid, issue?.message ?? 'invalid', { key: issue?.path.map(String).join('.') || '(document)', expected: 'a signed bundle document' })
}

/** Parses a document; fails with BundleInvalid. */
export function parseSignedBundle (bytes: Uint8Array): Result<SignedBundle> {
  if (bytes.length > maximumDocumentBytes) return fail(ResultCode.BundleInvalid, `the document has ${bytes.length} bytes`, { key: '(document)', expected: `at most ${maximumDocumentBytes} bytes` })
  try {
    return validateSignedBundle(JSON.parse(Buffer.from(bytes).toString('utf8')))
  } catch (error) {
    return fail(ResultCode.BundleInvalid, `the document is not JSON: ${(error as Error).message}`, { key: '(document)', expected: 'a signed bundle document' })
  }
}

/** Serializes a document for the store, for peers and for files. */
export function serializeSignedBundle (document: SignedBundle): Uint8Array {
  return Buffer.from(JSON.stringify(document) + '\n', 'utf8')
}

/** Creates an unsigned document from a body. Fails with BundleInvalid if the body does not match the schema. */
export function createSignedBundle (body: unknown): Result<SignedBundle> {
  const checked = validateBundle(body)
  if (!checked.ok) return checked
  const digest = digestBundle(body)
  if (!digest.ok) return digest
  return succeed({ documentVersion: 1, digest: digest.value, body: body as Record<string, unknown>, signatures: [] })
}

/** Returns the bytes to sign. They include the role, so that an author's signature cannot be reused as an approval. */
export function encodeSignedMessage (role: SignerRole, bundle: Bundle, digest: string): Uint8Array {
  const { name, version, previousDigest } = bundle
  return Buffer.from(formatCanonicalJson({ context: signatureDomain, role, name, version, digest, previousDigest }), 'utf8')
}
