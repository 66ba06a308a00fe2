// Adds the signature of an author or an approver to a bundle document.
import { sign } from 'node:crypto'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type Result } from '@siskinbeam/result-codes/codedError'
import { validateBundle } from '@siskinbeam/schema/validateBundle'
import { digestBundle } from './digestBundle.js'
import { parsePrivateKey } from './signingKeys.js'
import { encodeSignedMessage, SignerRole, type SignedBundle } from './signedBundle.js'

export interface SignBundleOptions {
  document: SignedBundle
  role: SignerRole
  /** Base64 text of the signer's private key. */
  privateKey: string
}

/**
 * Signs a document in one role and replaces an existing signature of this role. Fails with KeyInvalid,
 * BundleInvalid, BundleDigestMismatch, or BundleNotApproved if author and approver would have the same key.
 */
export function signBundle ({ document, role, privateKey }: SignBundleOptions): Result<SignedBundle> {
  const key = parsePrivateKey(privateKey)
  if (!key.ok) return key
  const bundle = validateBundle(document.body)
  if (!bundle.ok) return bundle
  const digest = digestBundle(document.body)
  if (!digest.ok) return digest
  if (digest.value !== document.digest) return fail(ResultCode.BundleDigestMismatch, 'the body was changed after the document was created', { key: 'digest', expected: digest.value })
  const publicKey = key.value.publicKey.text
  const others = document.signatures.filter(signature => signature.role !== role)
  if (others.some(other => other.publicKey === publicKey)) {
    return fail(ResultCode.BundleNotApproved, 'author and approver have the same key', { key: `signatures.${role}`, expected: 'the key of another person' })
  }
  const signature = sign(null, encodeSignedMessage(role, bundle.value, document.digest), key.value.key).toString('base64')
  return succeed({ ...document, signatures: [...others, { role, publicKey, signature }] })
}
