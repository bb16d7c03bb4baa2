"""Authentication of callers: each key yields its tenant, and any other credential a typed 401 error."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from passgate.errors import (
    InvalidConfiguration,
    MalformedCredential,
    MissingCredential,
    Unauthorized,
    UnknownKey,
)
from passgate.gateway.access import ApiKeyIndex, Caller, Tenant, replica_headers
from passgate.gateway.messages import error_answer
from passgate.gateway.routes import ConfigHolder, GatewayConfig

ORCHARD = Tenant(name="orchard", api_keys=("k1", "k2"), priority=3)
MILL = Tenant(name="mill", api_keys=("k3",))
INDEX = ApiKeyIndex((ORCHARD, MILL))


def authenticate(*credentials, public=False, index=INDEX):
    return index.authenticate(tuple(("Authorization", value) for value in credentials), public=public)


def test_each_key_yields_its_tenant():
    assert authenticate("Bearer k1") == authenticate("Bearer k2") == Caller(tenant="orchard", priority=3)
    assert authenticate("bearer   k3 ") == Caller(tenant="mill")


@pytest.mark.parametrize(
    ("credentials", "error"),
    [
        ((), MissingCredential),
        (("Bearer k1", "Bearer k1"), MalformedCredential),
        (("Basic k1",), MalformedCredential),
        (("Bearer",), MalformedCredential),
        (("Bearer k1 k2",), UnknownKey),
        (("Bearer K1",), UnknownKey),
        (("Bearer " + "x" * 65_536,), UnknownKey),
    ],
)
def test_an_invalid_credential_raises_the_error_of_its_kind(credentials, error):
    with pytest.raises(error):
        authenticate(*credentials)


def test_a_public_route_accepts_a_key_but_does_not_require_one():
    assert authenticate(public=True) == authenticate("Bearer wrong", public=True) == Caller(tenant="")
    assert authenticate("Bearer k3", public=True).tenant == "mill"


def test_without_tenants_no_key_is_required():
    assert authenticate(index=ApiKeyIndex(())) == Caller(tenant=None)


@given(st.lists(st.text(), max_size=3))
def test_arbitrary_credentials_without_a_valid_key_get_401_and_no_key_is_disclosed(credentials):
    try:
        caller = authenticate(*credentials)
    except Unauthorized as error:
        answer = error_answer(error)
        assert answer.status == 401
        assert ("WWW-Authenticate", "Bearer") in answer.headers
        assert not any(key in str(error) for key in ("k1", "k2", "k3"))
    else:
        (credential,) = credentials
        assert credential.split()[-1] in (*ORCHARD.api_keys, *MILL.api_keys)
        assert caller.tenant in ("orchard", "mill")


@given(
    st.lists(
        st.tuples(st.sampled_from(["X-Tenant", "x-TENANT", "Authorization", "AUTHORIZATION", "A"]), st.text())
    )
)
def test_a_replica_receives_the_authenticated_tenant_and_no_credential(sent):
    received = replica_headers(sent, "orchard", "X-Tenant")
    assert [value for name, value in received if name.lower() == "x-tenant"] == ["orchard"]
    assert not [name for name, _ in received if name.lower() == "authorization"]
    assert [pair for pair in received if pair[0] == "A"] == [pair for pair in sent if pair[0] == "A"]


def test_without_tenants_headers_are_forwarded_unchanged():
    sent = [("X-Tenant", "a"), ("Authorization", "b")]
    assert replica_headers(sent, None, "X-Tenant") == sent


@pytest.mark.parametrize(
    "tenants",
    [
        (ORCHARD, Tenant(name="mill", api_keys=("k2",))),
        (Tenant(name="", api_keys=("k",)),),
        (Tenant(name="a/b", api_keys=("k",)),),
        (Tenant(name="a", api_keys=("",)),),
        (ORCHARD, Tenant(name="orchard", api_keys=("k9",))),
    ],
)
def test_a_configuration_with_invalid_tenants_is_rejected_and_the_active_one_stays(tenants):
    config_holder = ConfigHolder()
    config_holder.apply_if_newer(GatewayConfig(version=1, tenants=(ORCHARD,)))
    with pytest.raises(InvalidConfiguration):
        config_holder.apply_if_newer(GatewayConfig(version=2, tenants=tenants))
    assert config_holder.version == 1
    assert config_holder.apply_if_newer(GatewayConfig(version=3, tenants=(MILL,)))
