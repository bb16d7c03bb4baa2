"""Who a caller is, by its key; whatever the header holds, the answer is a typed refusal."""

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
from passgate.gateway.access import Caller, KeyIndex, Tenant, headers_for_replica
from passgate.gateway.messages import error_answer
from passgate.gateway.routes import ConfigHolder, GatewayConfig

ORCHARD = Tenant(name="orchard", api_keys=("k1", "k2"), priority=3)
MILL = Tenant(name="mill", api_keys=("k3",))
INDEX = KeyIndex((ORCHARD, MILL))


def caller(*credentials, public=False, index=INDEX):
    return index.caller_of(tuple(("Authorization", value) for value in credentials), public=public)


def test_each_key_names_its_tenant():
    assert caller("Bearer k1") == caller("Bearer k2") == Caller(tenant="orchard", priority=3)
    assert caller("bearer   k3 ") == Caller(tenant="mill")


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
def test_anything_else_is_refused_with_its_reason(credentials, error):
    with pytest.raises(error):
        caller(*credentials)


def test_a_public_route_needs_no_key_but_takes_one():
    assert caller(public=True) == caller("Bearer wrong", public=True) == Caller(tenant="")
    assert caller("Bearer k3", public=True).tenant == "mill"


def test_without_tenants_nobody_is_asked():
    assert caller(index=KeyIndex(())) == Caller(tenant=None)


@given(st.lists(st.text(), max_size=3))
def test_whatever_the_header_holds_nothing_but_a_held_key_gets_in(credentials):
    try:
        found = caller(*credentials)
    except Unauthorized as error:
        answer = error_answer(error)
        assert answer.status == 401
        assert ("WWW-Authenticate", "Bearer") in answer.headers
        assert not any(key in str(error) for key in ("k1", "k2", "k3"))
    else:
        (credential,) = credentials
        assert credential.split()[-1] in (*ORCHARD.api_keys, *MILL.api_keys)
        assert found.tenant in ("orchard", "mill")


@given(
    st.lists(
        st.tuples(st.sampled_from(["X-Tenant", "x-TENANT", "Authorization", "AUTHORIZATION", "A"]), st.text())
    )
)
def test_a_replica_sees_one_tenant_and_no_credential(sent):
    seen = headers_for_replica(sent, "orchard", "X-Tenant")
    assert [value for name, value in seen if name.lower() == "x-tenant"] == ["orchard"]
    assert not [name for name, _ in seen if name.lower() == "authorization"]
    assert [pair for pair in seen if pair[0] == "A"] == [pair for pair in sent if pair[0] == "A"]


def test_without_tenants_headers_stay_as_they_are():
    sent = [("X-Tenant", "a"), ("Authorization", "b")]
    assert headers_for_replica(sent, None, "X-Tenant") == sent


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
def test_a_contradictory_configuration_leaves_the_one_in_force(tenants):
    holder = ConfigHolder()
    holder.offer(GatewayConfig(version=1, tenants=(ORCHARD,)))
    with pytest.raises(InvalidConfiguration):
        holder.offer(GatewayConfig(version=2, tenants=tenants))
    assert holder.version == 1
    assert holder.offer(GatewayConfig(version=3, tenants=(MILL,)))
