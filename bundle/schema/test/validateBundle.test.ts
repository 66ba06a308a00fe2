// Guards against accepting a bundle with inconsistent parts, and against routing requests to the wrong service.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import type { BundleInput } from '../src/bundle.js'
import { validateBundle, listBundleErrors } from '../src/validateBundle.js'
import { createRouteFinder } from '../src/findRoute.js'

const example = (change: (bundle: any) => void = () => {}): BundleInput => {
  const bundle: BundleInput = {
    formatVersion: 1,
    name: 'example',
    version: 1,
    previousDigest: null,
    dataCentres: [{ name: 'north' }, { name: 'south' }],
    services: [
      {
        name: 'desk',
        pathPrefix: '/desk',
        servers: [{ name: 'desk-1', address: '127.0.0.1:9001', dataCentre: 'north', slots: 3 }],
        routes: [
          { methods: ['GET'], pathPrefix: '/desk', idempotent: true },
          { methods: ['POST'], pathPrefix: '/desk/bookings', idempotent: false }
        ]
      },
      {
        name: 'desk-archive',
        pathPrefix: '/desk/archive',
        servers: [{ name: 'archive-1', address: '127.0.0.1:9002', dataCentre: 'south', slots: 3 }],
        routes: [{ methods: ['GET'], pathPrefix: '/desk/archive', idempotent: true }]
      }
    ]
  }
  change(bundle)
  return bundle
}

test('defaults are applied to a valid bundle', () => {
  const checked = validateBundle(example())
  assert.ok(checked.ok)
  assert.equal(checked.value.services[0]?.retry.budgetShare, 0.1)
  assert.equal(checked.value.measuring.coreShare, 0.018)
})

const invalidBundles: Array<[string, (bundle: any) => void, string]> = [
  ['an unknown key', bundle => { bundle.serivces = [] }, '(document)'],
  ['a version of zero', bundle => { bundle.version = 0 }, 'version'],
  ['a duplicate service name', bundle => { bundle.services[1].name = 'desk' }, 'services'],
  ['a duplicate path prefix', bundle => { bundle.services[1].pathPrefix = '/desk' }, 'services'],
  ['an unknown data centre', bundle => { bundle.services[0].servers[0].dataCentre = 'west' }, 'services.desk.servers.desk-1.dataCentre'],
  ['an address out of range', bundle => { bundle.services[0].servers[0].address = '127.0.0.999:1' }, 'services.desk.servers.desk-1.address'],
  ['an unknown class', bundle => { bundle.services[0].routes[0].guestClass = 'gold' }, 'services.desk.routes'],
  ['a route outside its service', bundle => { bundle.services[1].routes[0].pathPrefix = '/other' }, 'services.desk-archive.routes'],
  ['a reserved path', bundle => { bundle.services[0].pathPrefix = '/.siskinbeam/x' }, 'services.desk.routes'],
  ['records that expire too soon', bundle => { bundle.services[0].recordLifetimeSeconds = 3600 }, 'services.desk.recordLifetimeSeconds'],
  ['a document that is not an object', () => {}, '(document)']
]

invalidBundles.forEach(([title, change, key]) => {
  test(`${title} is rejected with its key path`, () => {
    const document = title.includes('not an object') ? 'text' : example(change)
    const { bundle, errors } = listBundleErrors(document)
    assert.equal(bundle, undefined)
    assert.equal(errors[0]?.code, ResultCode.BundleInvalid)
    assert.equal(errors[0]?.key, key)
    assert.notEqual(errors[0]?.expected, '')
  })
})

test('the longest prefix matches, and a prefix matches whole path segments', () => {
  const checked = validateBundle(example())
  assert.ok(checked.ok)
  const findRoute = createRouteFinder(checked.value)
  const find = (method: string, path: string): Array<string | undefined> => {
    const { service, route } = findRoute(method, path)
    return [service?.name, route?.pathPrefix]
  }
  assert.deepEqual(find('GET', '/desk/archive/1'), ['desk-archive', '/desk/archive'])
  assert.deepEqual(find('POST', '/desk/bookings'), ['desk', '/desk/bookings'])
  assert.deepEqual(find('POST', '/desk/other'), ['desk', undefined])
  assert.deepEqual(find('GET', '/desks'), [undefined, undefined])
})
