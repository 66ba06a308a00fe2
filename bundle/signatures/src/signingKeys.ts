// Ed25519 keys as base64 text, since entry hosts have no disks and get keys by flags or environment
// variables. A key may be given raw (32 bytes) or as DER; it is reduced to the raw form, so that one
// key in two encodings cannot pass for two signers.
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

/** A public key: its base64 text in raw form, and what Node's crypto takes. */
export interface PublicKey {
  text: string
  key: KeyObject
}

/** A private key with its public key. */
export interface PrivateKey {
  key: KeyObject
  publicKey: PublicKey
}

/** Trusted public keys by their base64 text in raw form. */
export type TrustedKeys = ReadonlyMap<string, KeyObject>

/** Makes a new Ed25519 key pair. */
export function createSigningKeyPair (): SigningKeyPair {
  const pair = generateKeyPairSync('ed25519')
  return {
    publicKey: formatRaw(pair.publicKey.export({ format: 'der', type: 'spki' })),
    privateKey: formatRaw(pair.privateKey.export({ format: 'der', type: 'pkcs8' }))
  }
}

/** Reads a public key from base64 text of the raw key or of its DER. Fails with KeyInvalid. */
export function readPublicKey (text: string): Result<PublicKey> {
  const der = readDer(text, publicKeyPrefix)
  if (der === undefined) return fail(ResultCode.KeyInvalid, 'the public key is not an Ed25519 key', { key: 'publicKey', expected: 'base64 of 32 raw bytes or of a DER SubjectPublicKeyInfo' })
  return succeed({ text: formatRaw(der), key: createPublicKey({ key: der, format: 'der', type: 'spki' }) })
}

/** Reduces the text of a public key to its raw form; text that is no key is returned as it is. */
export function normalizePublicKey (text: string): string {
  const der = readDer(text, publicKeyPrefix)
  return der === undefined ? text : formatRaw(der)
}

/** Reads a private key from base64 text of the raw key or of its DER. Fails with KeyInvalid; the message never holds the key. */
export function readPrivateKey (text: string): Result<PrivateKey> {
  const der = readDer(text, privateKeyPrefix)
  if (der === undefined) return fail(ResultCode.KeyInvalid, 'the private key is not an Ed25519 key', { key: 'privateKey', expected: 'base64 of 32 raw bytes or of a DER PKCS#8 key' })
  const key = createPrivateKey({ key: der, format: 'der', type: 'pkcs8' })
  const publicKey = createPublicKey(key)
  return succeed({ key, publicKey: { text: formatRaw(publicKey.export({ format: 'der', type: 'spki' })), key: publicKey } })
}

/** Reads the set of trusted keys. The first key that cannot be read makes it fail with KeyInvalid. */
export function readTrustedKeys (texts: readonly string[]): Result<TrustedKeys> {
  const keys = texts.map(readPublicKey)
  const wrong = keys.findIndex(({ ok }) => !ok)
  if (wrong >= 0) return fail(ResultCode.KeyInvalid, `trusted key ${wrong + 1} of ${texts.length} is not an Ed25519 key`, { key: 'trustedKeys', expected: 'base64 text of raw or DER public keys' })
  return succeed(new Map(keys.flatMap(read => read.ok ? [[read.value.text, read.value.key] as const] : [])))
}

function readDer (text: string, prefix: Buffer): Buffer | undefined {
  const trimmed = text.trim()
  const bytes = Buffer.from(trimmed, 'base64')
  // Buffer.from skips characters that are not base64, so the text is compared with what was read.
  if (bytes.toString('base64').replace(/=+$/, '') !== trimmed.replace(/=+$/, '')) return undefined
  if (bytes.length === rawKeyBytes) return Buffer.concat([prefix, bytes])
  const isDer = bytes.length === prefix.length + rawKeyBytes && bytes.subarray(0, prefix.length).equals(prefix)
  return isDer ? bytes : undefined
}

function formatRaw (der: Buffer): string {
  return der.subarray(der.length - rawKeyBytes).toString('base64')
}
