// Ed25519 keys as base64 text, since entry hosts have no disks and receive keys through flags or environment
// variables. A key may be raw (32 bytes) or DER encoded. It is normalized to the raw form, so that one key in
// two encodings is not accepted as two signers.
import { createPrivateKey, createPublicKey, generateKeyPairSync, type KeyObject } from 'node:crypto'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type Result } from '@siskinbeam/result-codes/codedError'

const rawKeyBytes = 32
// The DER of an Ed25519 key (RFC 8410) is a constant prefix followed by the raw key.
const publicKeyPrefix = Buffer.from('302a300506032b6570032100', 'hex')
const privateKeyPrefix = Buffer.from('302e020100300506032b657004220420', 'hex')

/** A key pair; both keys are base64 text of the raw 32 bytes. */
export interface SigningKeyPair {
  publicKey: string
  privateKey: string
}

/** A public key: base64 text of the raw key, and the key object for Node's crypto module. */
export interface PublicKey {
  text: string
  key: KeyObject
}

/** A private key with its public key. */
export interface PrivateKey {
  key: KeyObject
  publicKey: PublicKey
}

/** Trusted public keys by the base64 text of the raw key. */
export type TrustedKeys = ReadonlyMap<string, KeyObject>

/** Generates an Ed25519 key pair. */
export function createSigningKeyPair (): SigningKeyPair {
  const pair = generateKeyPairSync('ed25519')
  return {
    publicKey: encodeRawKey(pair.publicKey.export({ format: 'der', type: 'spki' })),
    privateKey: encodeRawKey(pair.privateKey.export({ format: 'der', type: 'pkcs8' }))
  }
}

/** Parses base64 text of a raw or DER encoded public key. Fails with KeyInvalid. */
export function parsePublicKey (text: string): Result<PublicKey> {
  const der = decodeKey(text, publicKeyPrefix)
  if (der === undefined) return fail(ResultCode.KeyInvalid, 'the public key is not an Ed25519 key', { key: 'publicKey', expected: 'base64 of 32 raw bytes or of a DER SubjectPublicKeyInfo' })
  return succeed({ text: encodeRawKey(der), key: createPublicKey({ key: der, format: 'der', type: 'spki' }) })
}

/** Normalizes the text of a public key to the raw form. Text that is not a key is returned unchanged. */
export function normalizePublicKey (text: string): string {
  const der = decodeKey(text, publicKeyPrefix)
  return der === undefined ? text : encodeRawKey(der)
}

/** Parses base64 text of a raw or DER encoded private key. Fails with KeyInvalid; the message never contains the key. */
export function parsePrivateKey (text: string): Result<PrivateKey> {
  const der = decodeKey(text, privateKeyPrefix)
  if (der === undefined) return fail(ResultCode.KeyInvalid, 'the private key is not an Ed25519 key', { key: 'privateKey', expected: 'base64 of 32 raw bytes or of a DER PKCS#8 key' })
  const key = createPrivateKey({ key: der, format: 'der', type: 'pkcs8' })
  const publicKey = createPublicKey(key)
  return succeed({ key, publicKey: { text: encodeRawKey(publicKey.export({ format: 'der', type: 'spki' })), key: publicKey } })
}

/** Parses the set of trusted keys. Fails with KeyInvalid at the first invalid key. */
export function parseTrustedKeys (texts: readonly string[]): Result<TrustedKeys> {
  const keys = texts.map(parsePublicKey)
  const invalidIndex = keys.findIndex(({ ok }) => !ok)
  if (invalidIndex >= 0) return fail(ResultCode.KeyInvalid, `trusted key ${invalidIndex + 1} of ${texts.length} is not an Ed25519 key`, { key: 'trustedKeys', expected: 'base64 text of raw or DER public keys' })
  return succeed(new Map(keys.flatMap(read => read.ok ? [[read.value.text, read.value.key] as const] : [])))
}

function decodeKey (text: string, prefix: Buffer): Buffer | undefined {
  const trimmed = text.trim()
  const bytes = Buffer.from(trimmed, 'base64')
  // Buffer.from ignores characters that are not base64, so the result is encoded again and compared.
  if (bytes.toString('base64').replace(/=+$/, '') !== trimmed.replace(/=+$/, '')) return undefined
  if (bytes.length === rawKeyBytes) return Buffer.concat([prefix, bytes])
  const isDer = bytes.length === prefix.length + rawKeyBytes && bytes.subarray(0, prefix.length).equals(prefix)
  return isDer ? bytes : undefined
}

function encodeRawKey (der: Buffer): string {
  return der.subarray(der.length - rawKeyBytes).toString('base64')
}
